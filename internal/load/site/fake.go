package site

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylpond/berylpond/internal/fakes/fault"
)

// fakeTimeout is the timeout of a request to a fake.
const fakeTimeout = 5 * time.Second

// Fake is a running process of berylfakes: a fake platform service or backend server.
type Fake struct {
	*Process
	Address string
	// DataCentre is empty for the platform's services.
	DataCentre string
}

// SetFault activates a fault.
func (f *Fake) SetFault(ctx context.Context, spec fault.Spec) error {
	return f.Call(ctx, http.MethodPut, "/fault", spec, nil)
}

// ClearFault removes the fault.
func (f *Fake) ClearFault(ctx context.Context) error {
	return f.Call(ctx, http.MethodDelete, "/fault", nil, nil)
}

// Call sends one request with a JSON body and decodes the response into out, if set.
func (f *Fake) Call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, fakeTimeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.Address+path, body)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrapf(err, "%s", f.Name)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("%s: %s %s: %s", f.Name, method, path, resp.Status)
	}
	if out == nil {
		return nil
	}
	return errors.Wrapf(json.NewDecoder(resp.Body).Decode(out), "%s", f.Name)
}
