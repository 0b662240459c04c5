// Package platformclient is the client of the platform's log service and instance list.
//
// It never retries a call. Each error is a *verdict.Error that states whether the call may have taken effect.
package platformclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylpond/berylpond/internal/httphead"
	"github.com/berylpond/berylpond/internal/verdict"
)

const (
	defaultTimeout      = 2 * time.Second
	defaultRetryAfter   = 200 * time.Millisecond
	maxResponseBytes    = 64 << 20
	maxIdleConnsPerHost = 32
)

// Record is one record of a stream.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the result of a read. First is the oldest available offset, End the offset after the newest.
type Page struct {
	First   int64    `json:"first"`
	End     int64    `json:"end"`
	Records []Record `json:"records"`
}

// Kinds and states of instances.
const (
	KindGateway  = "entry"
	KindEngine   = "engine"
	KindService  = "service"
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Instance is one entry of the platform's instance list, which may be outdated.
type Instance struct {
	ID         string `json:"id"`
	Kind       string `json:"kind"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	Pool       string `json:"pool,omitempty"`
	State      string `json:"state"`
}

type appendRequest struct {
	Records [][]byte `json:"records"`
}

type appendResponse struct {
	FirstOffset *int64 `json:"first_offset"`
}

type instanceList struct {
	Instances []Instance `json:"instances"`
}

// Client is a client of the platform. It is safe for concurrent use.
type Client struct {
	log       string
	instances string
	timeout   time.Duration
	http      *http.Client
}

// Option configures a Client.
type Option func(*Client)

// WithInstancesURL sets the base URL of the instance list where it differs from that of the log.
func WithInstancesURL(base string) Option {
	return func(c *Client) { c.instances = strings.TrimRight(base, "/") }
}

// WithTimeout sets the timeout of each call. The wait of a read is added to it.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithHTTPClient replaces the HTTP client. It must not retry.
func WithHTTPClient(h *http.Client) Option { return func(c *Client) { c.http = h } }

// New returns a client of the platform at base, for example "http://127.0.0.1:7000".
func New(base string, opts ...Option) *Client {
	base = strings.TrimRight(base, "/")
	c := &Client{log: base, instances: base, timeout: defaultTimeout}
	for _, o := range opts {
		o(c)
	}
	if c.http == nil {
		c.http = &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: c.timeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
		}}
	}
	return c
}

// Append adds records to a stream and returns the offset of the first. A verdict of MayHaveRun means that the records
// may have been appended, or may still be, although there was no valid response.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (first int64, err error) {
	body, err := json.Marshal(appendRequest{Records: records})
	if err != nil {
		return 0, verdict.Refuse(http.StatusInternalServerError, verdict.ReasonInternal, 0, "encoding append: %v", err)
	}
	var out appendResponse
	target := c.log + "/v1/append?stream=" + url.QueryEscape(stream)
	if err := c.call(ctx, http.MethodPost, target, body, c.timeout, &out); err != nil {
		return 0, err
	}
	if out.FirstOffset == nil {
		return 0, verdict.Fail(http.StatusBadGateway, verdict.ReasonPlatformUnavailable, "append answered without an offset")
	}
	return *out.FirstOffset, nil
}

// Read returns up to max records starting at the offset from. If there is none yet, it waits for up to wait. If
// Page.First is above from, the records between them have expired.
func (c *Client) Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (Page, error) {
	q := url.Values{}
	q.Set("stream", stream)
	q.Set("from", strconv.FormatInt(from, 10))
	q.Set("max", strconv.Itoa(max))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var page Page
	err := c.call(ctx, http.MethodGet, c.log+"/v1/read?"+q.Encode(), nil, c.timeout+wait, &page)
	return page, err
}

// Instances returns the platform's list of instances, which may be outdated.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var out instanceList
	err := c.call(ctx, http.MethodGet, c.instances+"/v1/instances", nil, c.timeout, &out)
	return out.Instances, err
}

// PutInstance creates or replaces the entry of an instance.
func (c *Client) PutInstance(ctx context.Context, i Instance) error {
	body, err := json.Marshal(i)
	if err != nil {
		return verdict.Refuse(http.StatusInternalServerError, verdict.ReasonInternal, 0, "encoding instance: %v", err)
	}
	return c.call(ctx, http.MethodPut, c.instances+"/v1/instances/"+url.PathEscape(i.ID), body, c.timeout, nil)
}

// DeleteInstance deletes the entry of an instance.
func (c *Client) DeleteInstance(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodDelete, c.instances+"/v1/instances/"+url.PathEscape(id), nil, c.timeout, nil)
}

func (c *Client) call(ctx context.Context, method, target string, body []byte, timeout time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// The reader hides the type of the body, so that req.GetBody is not set and the transport can't resend the request.
	var reader io.Reader
	if body != nil {
		reader = io.NopCloser(bytes.NewReader(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, target, reader)
	if err != nil {
		return verdict.Refuse(http.StatusInternalServerError, verdict.ReasonInternal, 0, "building request: %v", err)
	}
	if body != nil {
		req.ContentLength = int64(len(body))
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return transportError(err)
	}
	defer resp.Body.Close()
	if err := httphead.Check(resp); err != nil {
		return transportError(err)
	}
	return decodeResponse(resp, out)
}

// transportError maps a failed dial to NotRun and every other failure to MayHaveRun.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonPlatformUnavailable, defaultRetryAfter, "platform: %v", err)
	}
	return verdict.Fail(http.StatusGatewayTimeout, verdict.ReasonPlatformUnavailable, "platform: %v", err)
}

func decodeResponse(resp *http.Response, out any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		return verdict.Refuse(resp.StatusCode, verdict.ReasonRateLimited, retryAfter(resp), "platform refused the call")
	case resp.StatusCode == http.StatusServiceUnavailable:
		return verdict.Refuse(resp.StatusCode, verdict.ReasonPlatformUnavailable, retryAfter(resp), "platform is unavailable")
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		return verdict.Refuse(resp.StatusCode, verdict.ReasonMalformed, 0, "platform answered %d", resp.StatusCode)
	case resp.StatusCode >= 300:
		return verdict.Fail(resp.StatusCode, verdict.ReasonPlatformUnavailable, "platform answered %d", resp.StatusCode)
	case err != nil:
		return verdict.Fail(http.StatusBadGateway, verdict.ReasonPlatformUnavailable,
			"reading the platform's answer: %v", err)
	case out == nil:
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return verdict.Fail(http.StatusBadGateway, verdict.ReasonPlatformUnavailable,
			"decoding the platform's answer: %v", err)
	}
	return nil
}

func retryAfter(resp *http.Response) time.Duration {
	s, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || s < 0 {
		return defaultRetryAfter
	}
	return time.Duration(s) * time.Second
}
