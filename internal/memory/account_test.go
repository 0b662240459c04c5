package memory

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
)

func TestCachesYieldBeforeARequestIsRefused(t *testing.T) {
	is := is.New(t)
	var a *Account
	a = New(100, func(n int64) { a.Uncache(n) })
	is.True(a.Cache(60))
	is.True(a.Hold(40))
	is.True(!a.Cache(1)) // a cache takes no room from another
	is.True(a.Hold(50))
	is.Equal(a.Usage(), Usage{Held: 90, Cached: 10, Limit: 100})
	is.True(!a.Hold(11))
	is.Equal(a.Usage(), Usage{Held: 90, Cached: 10, Limit: 100, Refused: 1})
	a.Release(90)
	is.Equal(a.Usage().Held, int64(0))
}

// Load pattern: many requests compete for what the caches free. None is refused while the caches hold what it needs, or have
// just freed it.
func TestRequestsThatCompeteForCachedBytesAreNotRefused(t *testing.T) {
	for competitors := range 4 {
		is := is.New(t)
		var a *Account
		left := competitors
		a = New(100, func(n int64) {
			a.Uncache(n)
			if left > 0 {
				left--
				a.Add(n)
			}
		})
		is.True(a.Cache(100))
		is.True(a.Hold(10))
		is.Equal(a.Usage().Refused, int64(0))
	}
}

func TestRetryAfterFollowsTheRateOfReleases(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a := New(1000, func(int64) {})
	a.now = func() time.Time { return now }
	is.True(a.Hold(1000))
	is.Equal(a.RetryAfter(500), maxRetryAfter) // nothing is released
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		a.Release(50)
		is.True(a.Hold(50))
	}
	got := a.RetryAfter(500)
	is.True(got > 900*time.Millisecond && got < 1200*time.Millisecond) // 500 bytes at 500 bytes a second
	is.Equal(a.RetryAfter(1), minRetryAfter)
	now = now.Add(10 * time.Second)
	is.Equal(a.RetryAfter(500), maxRetryAfter)
}

// Load pattern: 500 clients announce 1 MB each and send 1 KB each.
func TestSlowSendersHoldWhatTheyHaveSent(t *testing.T) {
	is := is.New(t)
	const announced, sent, clients = 1 << 20, 1 << 10, 500
	a := New(40<<20, func(int64) {})
	var held int64
	for range clients {
		_, n, err := ReadBody(a, bytes.NewReader(make([]byte, sent)), announced, 4<<20)
		is.True(errors.Is(err, io.ErrUnexpectedEOF))
		held += n
	}
	is.Equal(a.Usage().Held, held)
	is.True(held <= clients*chunkBytes)
	is.True(a.Hold(chunkBytes)) // an ordinary request still has room
}

func TestBodiesAreReadWhole(t *testing.T) {
	const limit = 300 << 10
	for _, size := range []int{0, 1, chunkBytes - 1, chunkBytes, chunkBytes + 1, 200 << 10, limit} {
		for _, known := range []bool{true, false} {
			is := is.New(t)
			a := New(1<<20, func(int64) {})
			want := strings.Repeat("x", size)
			length := int64(-1)
			if known {
				length = int64(size)
			}
			got, held, err := ReadBody(a, iotest.OneByteReader(strings.NewReader(want)), length, limit)
			is.NoErr(err)
			is.Equal(string(got), want)
			is.Equal(a.Usage().Held, held)
			is.True(held >= int64(size))
		}
	}
}

func TestBodiesAreBounded(t *testing.T) {
	is := is.New(t)
	a := New(1<<20, func(int64) {})
	var long *http.MaxBytesError
	_, _, err := ReadBody(a, strings.NewReader("12345"), 5, 4)
	is.True(errors.As(err, &long))
	_, _, err = ReadBody(a, strings.NewReader("12345"), -1, 4)
	is.True(errors.As(err, &long))
	_, _, err = ReadBody(a, strings.NewReader("123"), 5, 8)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	_, held, err := ReadBody(New(10, func(int64) {}), strings.NewReader("12345678901"), 11, 20)
	is.True(errors.Is(err, ErrFull))
	is.Equal(held, int64(0))
}

// Load pattern: an instance keeps the turns of many programs, and goes on getting requests.
func TestWhatIsKeptTakesRoomFromRequestsAndCaches(t *testing.T) {
	is := is.New(t)
	var a *Account
	a = New(100, func(n int64) { a.Uncache(n) })
	a.SetTotal(150)
	a.Keep(50)
	is.True(a.Cache(60))
	is.True(a.Hold(100)) // the caches yield
	is.True(a.IsFull())
	is.True(!a.Hold(1))
	a.Release(80)
	a.Keep(70) // can't be refused
	is.True(!a.Cache(11))
	is.True(a.Cache(10))
	is.True(!a.IsFull()) // the cache yields
	is.True(!a.Hold(11))
	is.True(a.Hold(10))
	a.Keep(-70)
	is.True(a.Hold(70))
	is.Equal(a.Usage(), Usage{Held: 100, Kept: 50, Limit: 100, Refused: 2})
}
