package batch

// imageMix rates a worker for a latency-sensitive task by the images of the latency-sensitive tasks that
// run there.
type imageMix int

// A best-effort task must not press on any image on its worker, and each pair of images behaves in its
// own way. The fewer images share a worker, the more best-effort images can run there. So tasks of one
// image are gathered on workers of their own, and images are mixed where they are mixed already.
const (
	spoilsWorker  imageMix = iota // all tasks there are of one other image
	joinsMixed                    // the tasks there are of several other images
	startsWorker                  // no latency-sensitive task runs there
	extendsMixed                  // tasks of the same image and of others run there
	extendsWorker                 // all tasks there are of the same image
)

// imageMix returns the rating of the worker for a latency-sensitive task of the image.
func (w *worker) imageMix(image string) imageMix {
	own, mixed := false, false
	var other string
	for _, g := range w.latencyGroups {
		switch {
		case g.image == image:
			own = true
		case other == "":
			other = g.image
		case g.image != other:
			mixed = true
		}
	}
	switch {
	case own && other == "":
		return extendsWorker
	case own:
		return extendsMixed
	case other == "":
		return startsWorker
	case mixed:
		return joinsMixed
	default:
		return spoilsWorker
	}
}
