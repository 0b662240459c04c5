package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/admission"
	"github.com/berylpond/berylpond/internal/homes"
	"github.com/berylpond/berylpond/internal/placement"
)

// Load pattern: the backend servers of one region are full of the requests that must stay there, while those of the other
// regions have free places.
func TestRequestsAreDecidedByTheServersOfTheirOwnHomes(t *testing.T) {
	is := is.New(t)
	const service = 100 * time.Millisecond
	full := placement.Outlook{Servers: 1, Places: 4, Wait: 200 * time.Millisecond, Service: service}
	free := placement.Outlook{Servers: 3, Places: 12, Free: 8, Service: service}
	now := time.Now()
	request := admission.Request{
		Class: admission.UnderWay, Arrived: now, RespondBy: now.Add(5 * time.Second), Objective: 4 * time.Second,
	}
	r := newRooms()
	atHome, anywhere := r.queue("models", homes.Of([]string{"eu"}, nil)), r.queue("models", homes.Set{})

	held, decided := atHome.offer(now, request, full)
	other, otherDecided := anywhere.offer(now, request, free)
	is.True(isClosed(otherDecided)) // does not wait behind those of the full region
	is.Equal(other.Decision.Cause, admission.CauseFree)
	is.True(!isClosed(decided)) // is not sent to the full region for a free place elsewhere
	is.Equal(held.Decision, admission.Decision{})

	is.Equal(r.queue("models", homes.Of([]string{"us", "eu"}, nil)), r.queue("models", homes.Of([]string{"eu", "us"}, nil)))
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
