package storetransport

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/grpc"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/platform"
)

// peer is a connection to an instance that relays calls; it uses no network.
type peer struct{ calls atomic.Int64 }

func (p *peer) Conn(string) (grpc.ClientConnInterface, error) { return p, nil }

func (p *peer) Invoke(_ context.Context, _ string, _, out any, _ ...grpc.CallOption) error {
	p.calls.Add(1)
	out.(*turnv1.CallResponse).Status = http.StatusOK
	return nil
}

func (p *peer) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, errors.New("streams are not implemented")
}

// newPath returns a path to a store that never responds to calls of /silent.
func newPath(t *testing.T) (*Transport, *peer) {
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/silent" {
			<-r.Context().Done()
		}
	}))
	t.Cleanup(srv.Close)
	p := &peer{}
	direct := platform.NewHTTPTransport(strings.TrimPrefix(srv.URL, "http://"), nil)
	return New(direct, p, func() []string { return []string{"peer"} }), p
}

func do(t *testing.T, p *Transport, c platform.StoreCall) (platform.StoreReply, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	return p.Do(ctx, c)
}

func TestCallWithoutResponseIsRelayed(t *testing.T) {
	is := is.New(t)
	p, peer := newPath(t)
	reply, err := do(t, p, platform.StoreCall{Method: http.MethodGet, Path: "/silent"})
	is.NoErr(err)
	is.Equal(reply.Status, http.StatusOK)
	is.Equal(peer.calls.Load(), int64(1))
	is.True(!p.DirectlyServed())
	// Later calls are relayed without a direct attempt.
	_, err = do(t, p, platform.StoreCall{Method: http.MethodGet, Path: "/"})
	is.NoErr(err)
	is.Equal(peer.calls.Load(), int64(2))
}

func TestTentativeCallWithoutResponseIsNotRelayed(t *testing.T) {
	is := is.New(t)
	p, peer := newPath(t)
	_, err := do(t, p, platform.StoreCall{Method: http.MethodGet, Path: "/"})
	is.NoErr(err)
	_, err = do(t, p, platform.StoreCall{Method: http.MethodGet, Path: "/silent", Tentative: true})
	is.True(err != nil)
	is.True(p.DirectlyServed())
	is.Equal(peer.calls.Load(), int64(0))
}

func TestSinceContactIsTimeSinceLastResponse(t *testing.T) {
	is := is.New(t)
	p, _ := newPath(t)
	is.True(!p.InContact(time.Hour))
	_, err := do(t, p, platform.StoreCall{Method: http.MethodGet, Path: "/"})
	is.NoErr(err)
	is.True(p.InContact(time.Minute))
	is.True(p.SinceContact() < time.Minute)
	now := p.now().Add(2 * time.Minute)
	p.now = func() time.Time { return now }
	is.True(!p.InContact(time.Minute))
}
