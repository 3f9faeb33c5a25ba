package e2e

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/query"
	"github.com/geraniumwick/geraniumwick/standin/cluster"
)

// configuration returns the configuration that is in force at an instance.
func (s *system) configuration(i *cluster.Instance) query.ConfigResponse {
	s.t.Helper()
	var out query.ConfigResponse
	s.is.NoErr(i.CallOperator(s.ctx, http.MethodGet, "/v1/config", nil, &out))
	return out
}

// section returns a section that is in force at an instance.
func (s *system) section(i *cluster.Instance, name string) query.ConfigSection {
	s.t.Helper()
	for _, section := range s.configuration(i).Sections {
		if section.Name == name {
			return section
		}
	}
	s.t.Fatalf("section %s is not in force at %s", name, i.ID())
	return query.ConfigSection{}
}

// awaitText waits until a section with the given text is in force at all instances.
func (s *system) awaitText(name, text string) {
	s.t.Helper()
	for _, i := range s.Instances {
		s.is.NoErr(cluster.Await(s.ctx, name+" in force at "+string(i.ID()), configBound, func() (bool, error) {
			return s.section(i, name).Text == text, nil
		}))
	}
}

func TestOfRacingEditsOfASectionOneWins(t *testing.T) {
	s := start(t, nil)
	for round := range 5 {
		before := s.section(s.Instances[0], "levy").Revision
		texts := make([]string, len(s.Instances))
		errs := make([]error, len(s.Instances))
		var edits sync.WaitGroup
		for n, i := range s.Instances {
			texts[n] = fmt.Sprintf("%s# edit %d.%d\n", document["levy"], round, n)
			edits.Go(func() { errs[n] = i.PutSection(s.ctx, "levy", before, []byte(texts[n])) })
		}
		edits.Wait()
		winner := -1
		for n, err := range errs {
			if err == nil {
				s.is.Equal(winner, -1) // only one edit from the same revision is accepted
				winner = n
			}
		}
		s.is.True(winner >= 0)
		s.awaitText("levy", texts[winner])
	}
}

func TestRacingEditsOfDifferentSectionsBothWin(t *testing.T) {
	s := start(t, nil)
	levy, operators := s.section(s.Instances[0], "levy"), s.section(s.Instances[0], "operators")
	texts := [2]string{levy.Text + "# both\n", operators.Text + "# both\n"}
	var errs [2]error
	var edits sync.WaitGroup
	edits.Go(func() { errs[0] = s.Instances[0].PutSection(s.ctx, "levy", levy.Revision, []byte(texts[0])) })
	edits.Go(func() { errs[1] = s.Instances[1].PutSection(s.ctx, "operators", operators.Revision, []byte(texts[1])) })
	edits.Wait()
	s.is.NoErr(errs[0])
	s.is.NoErr(errs[1])
	s.awaitText("levy", texts[0])
	s.awaitText("operators", texts[1])
}

func TestMalformedSectionChangesNothing(t *testing.T) {
	s := start(t, nil)
	before := s.section(s.Instances[0], "levy")
	for _, text := range []string{"", "team: levy\nsize: -1\n", "\x00\xff", string(bytes.Repeat([]byte("a: [\n"), 1000))} {
		s.is.True(s.Instances[0].PutSection(s.ctx, "levy", before.Revision, []byte(text)) != nil)
	}
	s.is.Equal(s.section(s.Instances[0], "levy"), before)
}

func TestNothingStartsInADataCentreThatIsOut(t *testing.T) {
	s := start(t, nil)
	s.startTraffic(60)
	s.submit(60, 4*time.Second, 8*time.Second)
	s.awaitStarted(30)
	// The data centre is taken out, put back and taken out again at once, through different
	// instances.
	s.is.NoErr(s.Instances[0].SetDataCentreOut(s.ctx, "cairo-a", true))
	s.is.NoErr(s.Instances[1].SetDataCentreOut(s.ctx, "cairo-a", false))
	s.is.NoErr(s.Instances[2].SetDataCentreOut(s.ctx, "cairo-a", true))
	out := time.Now()
	s.submit(30, time.Second, 4*time.Second)
	s.pause(time.Until(out.Add(outBound + 4*time.Second)))
	back := time.Now()
	interval, err := s.Interval(s.ctx, "cairo-a", out.Add(outBound), back)
	s.is.NoErr(err)
	s.is.Equal(len(interval.Starts), 0)
	s.is.Equal(interval.Requests, 0)
	s.is.NoErr(s.Instances[0].SetDataCentreOut(s.ctx, "cairo-a", false))
	s.submit(10, time.Second, time.Second)
	counts := s.finishAndCheck()
	s.is.True(counts.Checkpointed > 0) // tasks were moved out of the data centre
}

func TestExplainTellsTheLifeOfAJobWhoseOwnerDied(t *testing.T) {
	s := start(t, nil)
	spec := s.submit(1, 8*time.Second, 8*time.Second)[0]
	for evictions := range 2 {
		s.awaitRunning(1)
		dc := s.lastStart(spec.ID).dataCentre
		owner := s.busiestOwner()
		s.is.NoErr(s.other(owner).SetDataCentreOut(s.ctx, dc, true))
		s.awaitStarts(spec.ID, evictions+2)
		s.is.NoErr(s.other(owner).SetDataCentreOut(s.ctx, dc, false))
		if evictions == 0 {
			owner.Kill()
			s.awaitOwners(s.other(owner), takeOverBound, owner.ID())
			s.is.NoErr(owner.Start())
			s.is.NoErr(owner.AwaitReady(s.ctx))
		}
	}
	s.finishAndCheck()
	for _, i := range s.Instances {
		s.checkExplain(i, spec.ID)
	}
}

// jobStart is one start of a job, as recorded by its worker.
type jobStart struct {
	worker     model.WorkerID
	dataCentre model.DataCentre
	number     uint32
}

// startsOf returns the starts of a job in the order of time.
func (s *system) startsOf(job model.JobID) []jobStart {
	s.t.Helper()
	interval, err := s.Interval(s.ctx, "", time.Time{}, time.Now().Add(time.Hour))
	s.is.NoErr(err)
	var out []jobStart
	for _, start := range interval.Starts {
		if start.Attempt.Job == job {
			out = append(out, jobStart{start.Worker, start.DataCentre, start.Attempt.Number})
		}
	}
	return out
}

// lastStart returns the last start of a job.
func (s *system) lastStart(job model.JobID) jobStart {
	s.t.Helper()
	starts := s.startsOf(job)
	s.is.True(len(starts) > 0)
	return starts[len(starts)-1]
}

// awaitStarts waits until a job has been started at least n times.
func (s *system) awaitStarts(job model.JobID, n int) {
	s.t.Helper()
	s.is.NoErr(cluster.Await(s.ctx, fmt.Sprintf("start %d of %s", n, job), finishBound, func() (bool, error) {
		starts := s.startsOf(job)
		return len(starts) >= n, fmt.Errorf("%v", starts)
	}))
}

// checkExplain fails the test unless the explanation of a job by an instance contains every start
// that the workers recorded.
func (s *system) checkExplain(i *cluster.Instance, job model.JobID) {
	s.t.Helper()
	var explanation query.Explanation
	s.is.NoErr(i.CallOperator(s.ctx, http.MethodGet, "/v1/explain/"+string(job), nil, &explanation))
	starts := s.startsOf(job)
	s.is.Equal(len(starts), 3) // evicted twice
	for _, start := range starts {
		found := false
		for _, e := range explanation.Entries {
			found = found || e.Attempt == start.number && e.Worker == start.worker
		}
		if !found {
			s.t.Errorf("the explanation by %s lacks attempt %d on %s: %+v", i.ID(), start.number, start.worker, explanation)
		}
	}
}
