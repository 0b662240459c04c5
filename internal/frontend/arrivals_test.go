package frontend

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestAwaitQuiet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &Server{}
		start := time.Now()
		s.AwaitNoArrivals(context.Background(), time.Second) // no request has arrived yet
		is.Equal(time.Since(start), time.Duration(0))
		go func() {
			for range 5 {
				s.lastArrival.Store(time.Now().UnixNano())
				time.Sleep(400 * time.Millisecond)
			}
		}()
		time.Sleep(time.Millisecond)
		s.AwaitNoArrivals(context.Background(), time.Second)
		is.Equal(time.Since(start), 4*400*time.Millisecond+time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		s.lastArrival.Store(time.Now().UnixNano())
		s.AwaitNoArrivals(ctx, time.Hour)
	})
}
