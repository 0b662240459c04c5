package weights

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/fakes/fault"
)

func TestReadAndRefuse(t *testing.T) {
	is := is.New(t)
	const size = 3*chunkBytes + 1
	s := New(WithWeights("m", size))
	server := httptest.NewServer(s)
	defer server.Close()
	get := func(name string) (int, int64) {
		resp, err := http.Get(server.URL + "/v1/weights/" + name)
		is.NoErr(err)
		defer resp.Body.Close()
		n, err := io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		return resp.StatusCode, n
	}
	status, n := get("m")
	is.Equal(status, http.StatusOK)
	is.Equal(n, int64(size))
	status, _ = get("other")
	is.Equal(status, http.StatusNotFound)
	s.Faults.Set(fault.Spec{Mode: fault.Outage, Times: 1})
	status, _ = get("m")
	is.Equal(status, http.StatusServiceUnavailable)
}

func TestMaxReaders(t *testing.T) {
	is := is.New(t)
	s := New(WithMaxReaders(1))
	is.True(s.acquireReader())
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest("GET", "/v1/weights/m", nil))
	is.Equal(w.Code, http.StatusTooManyRequests)
	s.releaseReader()
	is.True(s.acquireReader())
}
