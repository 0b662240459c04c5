package tool

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/fakes/fault"
)

func TestCall(t *testing.T) {
	is := is.New(t)
	s := New()
	call := func() (int, CallResponse) {
		w := httptest.NewRecorder()
		r := httptest.NewRequest("POST", "/call/stock", strings.NewReader(`{"input":"till 3"}`))
		r.Header.Set(requestIDHeader, "r1")
		s.ServeHTTP(w, r)
		var out CallResponse
		_ = json.Unmarshal(w.Body.Bytes(), &out)
		return w.Code, out
	}
	status, out := call()
	is.Equal(status, http.StatusOK)
	is.Equal(out, CallResponse{RequestID: "r1", Output: Output("stock", "till 3")})
	s.Faults.Set(fault.Spec{Mode: fault.Error500, Times: 1})
	status, _ = call()
	is.Equal(status, http.StatusInternalServerError)
	is.Equal(s.Calls(), int64(1))
}
