package placement

import (
	"iter"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/resources"
)

const (
	// MaxHold is how long room is reserved at most, and how far ahead it may be expected. A forecast that is wrong withholds room
	// for no longer.
	MaxHold = 2 * time.Second
	// retryPause is how long a holder waits after a reservation of it was given up until it gets another.
	retryPause = 2 * time.Second
	// maxReservedShare is the part of a service's CPU that is reserved at most, but for a single reservation.
	maxReservedShare = 0.125
	// maxReservations is the number of reservations of a service.
	maxReservations = 16
	// MaxWithheld is how long reservations alone keep a task from room that it fits into.
	MaxWithheld = time.Second
)

// Reservation is room on a worker that is kept for a holder that does not fit there yet.
type Reservation[H, W comparable] struct {
	Holder H
	Worker W
	Need   resources.Amount
	// Made is when the room was reserved, Until when it is given up, and Ready when the holder is expected to fit.
	Made, Until, Ready time.Time
	// Spare is what is expected to be free besides at Ready.
	Spare resources.Amount
}

// Admits reports whether another task may start on the worker: it ends before the room is ready, or needs no more than what is
// free besides then. An end that is not known is the zero time.
func (r *Reservation[H, W]) Admits(need resources.Amount, end time.Time) bool {
	return r.endsBefore(end) || need.Fits(r.Spare)
}

// NoteStart notes that another task starts on the worker.
func (r *Reservation[H, W]) NoteStart(need resources.Amount, end time.Time) {
	if !r.endsBefore(end) {
		r.Spare = r.Spare.Minus(need)
	}
}

func (r *Reservation[H, W]) endsBefore(end time.Time) bool {
	return !end.IsZero() && !end.After(r.Ready)
}

// Update replaces the forecast.
func (r *Reservation[H, W]) Update(o Outlook) { r.Ready, r.Spare = o.Ready, o.Spare }

// Reservations are those of one service, at most one for each holder.
type Reservations[H, W comparable] struct {
	byHolder    map[H]*Reservation[H, W]
	pausedUntil map[H]time.Time
	reservedCPU int64
}

// NewReservations returns an empty set of reservations.
func NewReservations[H, W comparable]() *Reservations[H, W] {
	return &Reservations[H, W]{byHolder: map[H]*Reservation[H, W]{}, pausedUntil: map[H]time.Time{}}
}

// OfHolder returns the reservation of a holder, or nil.
func (b *Reservations[H, W]) OfHolder(h H) *Reservation[H, W] { return b.byHolder[h] }

// All returns the reservations, in any order. The caller may release them meanwhile.
func (b *Reservations[H, W]) All() iter.Seq[*Reservation[H, W]] {
	return func(yield func(*Reservation[H, W]) bool) {
		for _, r := range b.byHolder {
			if !yield(r) {
				return
			}
		}
	}
}

// Len returns the number of reservations.
func (b *Reservations[H, W]) Len() int { return len(b.byHolder) }

// ReservedCPU returns the CPU that is reserved, in thousandths of a core.
func (b *Reservations[H, W]) ReservedCPU() int64 { return b.reservedCPU }

// MayReserve reports whether a holder may get a reservation in a service with the given CPU.
func (b *Reservations[H, W]) MayReserve(h H, need resources.Amount, serviceCPU int64, now time.Time) bool {
	switch {
	case b.byHolder[h] != nil, len(b.byHolder) >= maxReservations, now.Before(b.pausedUntil[h]):
		return false
	case len(b.byHolder) == 0:
		return true
	default:
		return float64(b.reservedCPU+need.CPU) <= maxReservedShare*float64(serviceCPU)
	}
}

// Reserve reserves room on a worker for a holder that MayReserve allows.
func (b *Reservations[H, W]) Reserve(h H, w W, need resources.Amount, o Outlook, now time.Time) *Reservation[H, W] {
	r := &Reservation[H, W]{Holder: h, Worker: w, Need: need, Made: now, Until: now.Add(MaxHold), Ready: o.Ready, Spare: o.Spare}
	b.byHolder[h] = r
	b.reservedCPU += need.CPU
	return r
}

// Release ends a reservation that has served its purpose, or whose worker can't keep it.
func (b *Reservations[H, W]) Release(r *Reservation[H, W]) {
	delete(b.byHolder, r.Holder)
	b.reservedCPU -= r.Need.CPU
}

// GiveUp ends a reservation whose forecast was wrong. The holder gets no other one for a while.
func (b *Reservations[H, W]) GiveUp(r *Reservation[H, W], now time.Time) {
	b.Release(r)
	b.pausedUntil[r.Holder] = now.Add(retryPause)
}

// ForgetPauses forgets the pauses that have ended.
func (b *Reservations[H, W]) ForgetPauses(now time.Time) {
	for h, until := range b.pausedUntil {
		if !now.Before(until) {
			delete(b.pausedUntil, h)
		}
	}
}
