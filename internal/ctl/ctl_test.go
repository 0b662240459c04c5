package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	adminv1 "github.com/berylpond/berylpond/api/admin/v1"
	configv1 "github.com/berylpond/berylpond/api/config/v1"
	"github.com/berylpond/berylpond/internal/document"
)

// fakeInstance implements the configuration service of an instance for one team.
type fakeInstance struct {
	configv1.UnimplementedAdminServer
	doc       []byte
	version   uint64
	conflicts int
	withdrawn []string
}

func (f *fakeInstance) Get(_ context.Context, req *configv1.GetRequest) (*configv1.GetResponse, error) {
	if f.version == 0 {
		return nil, status.Error(codes.NotFound, "no document")
	}
	return &configv1.GetResponse{Version: f.version, Document: f.doc}, nil
}

func (f *fakeInstance) Apply(_ context.Context, req *configv1.ApplyRequest) (*configv1.ApplyResponse, error) {
	if f.conflicts > 0 {
		f.conflicts--
		f.version++
	}
	if req.BaseVersion != f.version {
		st, _ := status.New(codes.Aborted, "conflict").WithDetails(&configv1.Conflict{Version: f.version, Author: "amal"})
		return nil, st.Err()
	}
	f.doc = req.Document
	f.version++
	return &configv1.ApplyResponse{Version: f.version}, nil
}

func (f *fakeInstance) History(context.Context, *configv1.HistoryRequest) (*configv1.HistoryResponse, error) {
	return &configv1.HistoryResponse{Versions: []*configv1.VersionInfo{{Version: 3, Author: "amal", Bytes: 2048}}}, nil
}

func (f *fakeInstance) Withdraw(_ context.Context, req *configv1.WithdrawRequest) (*configv1.WithdrawResponse, error) {
	f.withdrawn = append(f.withdrawn, req.Team+"/"+req.KeyId)
	return &configv1.WithdrawResponse{}, nil
}

type fakeAdmin struct {
	adminv1.UnimplementedAdminServer
}

func (fakeAdmin) Status(context.Context, *adminv1.StatusRequest) (*adminv1.StatusResponse, error) {
	return &adminv1.StatusResponse{
		Instance: "giza-0", Instances: []*adminv1.InstanceStatus{{Id: "giza-1"}}, Teams: []*adminv1.TeamVersion{{Team: "nile-current", Version: 3}},
	}, nil
}

func (fakeAdmin) ListBackends(context.Context, *adminv1.ListBackendsRequest) (*adminv1.ListBackendsResponse, error) {
	return &adminv1.ListBackendsResponse{Backends: []*adminv1.Backend{{Address: "10.0.0.1:80", State: "live"}}}, nil
}

func (fakeAdmin) DrainBackend(_ context.Context, r *adminv1.DrainBackendRequest) (*adminv1.DrainBackendResponse, error) {
	return &adminv1.DrainBackendResponse{InFlight: 4}, nil
}

func (fakeAdmin) DrainInstance(context.Context, *adminv1.DrainInstanceRequest) (*adminv1.DrainInstanceResponse, error) {
	return &adminv1.DrainInstanceResponse{}, nil
}

func (fakeAdmin) ListPrograms(_ context.Context, r *adminv1.ListProgramsRequest) (*adminv1.ListProgramsResponse, error) {
	return &adminv1.ListProgramsResponse{Programs: []*adminv1.Program{{Id: "giza-1", Team: r.Team}}}, nil
}

func (fakeAdmin) ShowProgram(_ context.Context, r *adminv1.ShowProgramRequest) (*adminv1.ShowProgramResponse, error) {
	if r.Id != "giza-1" {
		return nil, status.Error(codes.NotFound, "no such program")
	}
	return &adminv1.ShowProgramResponse{Program: &adminv1.Program{Id: r.Id}}, nil
}

func (fakeAdmin) CancelProgram(context.Context, *adminv1.CancelProgramRequest) (*adminv1.CancelProgramResponse, error) {
	return &adminv1.CancelProgramResponse{State: "cancelled"}, nil
}

type commandResult struct {
	code     int
	out, err string
}

// startInstance starts a fake instance with the configuration and admin services and returns a function that runs
// berylctl against it.
func startInstance(t *testing.T, f *fakeInstance) func(args ...string) commandResult {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer()
	configv1.RegisterAdminServer(s, f)
	adminv1.RegisterAdminServer(s, fakeAdmin{})
	go func() { _ = s.Serve(lis) }()
	t.Cleanup(s.Stop)
	return func(args ...string) commandResult {
		return runCtl(append(args, "--instance", lis.Addr().String())...)
	}
}

func runCtl(args ...string) commandResult {
	var out, errOut bytes.Buffer
	code := Main(args, &out, &errOut)
	return commandResult{code: code, out: out.String(), err: errOut.String()}
}

const example = "../../examples/nile-current.toml"

func TestConfigCommands(t *testing.T) {
	is := is.New(t)
	f := &fakeInstance{}
	ctl := startInstance(t, f)
	is.Equal(ctl("config", "get", "nile-current").code, ExitFailed) // there is no document yet
	is.True(strings.Contains(ctl("config", "diff", example).out, `+ account["payouts"].rate = 20`))
	r := ctl("config", "apply", example, "--base", "0", "--author", "amal")
	is.Equal(r.code, ExitOK)
	is.True(strings.Contains(r.out, "version 1"))
	r = ctl("config", "apply", example, "--base", "0")
	is.Equal(r.code, ExitConflict)
	is.True(strings.Contains(r.err, "version 1 by amal came first"))
	r = ctl("config", "get", "nile-current")
	is.Equal(r.err, "version 1\n")
	is.Equal(r.out, string(f.doc))
	is.Equal(ctl("config", "diff", example).out, "")
	is.True(strings.Contains(ctl("config", "history", "nile-current").out, "2.0 KiB"))
}

func TestValidateReportsEveryError(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "bad.toml")
	is.NoErr(os.WriteFile(file, []byte("team = 1\nx = 2\n"), 0o600))
	r := runCtl("config", "validate", file)
	is.Equal(r.code, ExitFailed)
	is.True(strings.Contains(r.err, "line 1: team") && strings.Contains(r.err, "line 2: x: unknown key"))
}

func TestKeyGrantAndWithdraw(t *testing.T) {
	is := is.New(t)
	doc, err := os.ReadFile(example)
	is.NoErr(err)
	f := &fakeInstance{doc: doc, version: 7, conflicts: 2}
	ctl := startInstance(t, f)
	r := ctl("key", "grant", "nile-current", "payouts", "-o", "json")
	is.Equal(r.code, ExitOK)
	var got grantResult
	is.NoErr(json.Unmarshal([]byte(r.out), &got))
	is.Equal(got.Version, uint64(10)) // two conflicts, then granted
	d, err := document.Parse(f.doc)
	is.NoErr(err)
	a, _ := d.Account("payouts")
	verified := false
	for _, k := range a.Keys {
		verified = verified || (k.ID == got.KeyID && document.VerifyKey(got.Key, k))
	}
	is.True(verified)
	is.True(!strings.Contains(string(f.doc), got.Key)) // only its hash is in the document
	is.Equal(ctl("key", "withdraw", "nile-current", got.KeyID).code, ExitOK)
	is.Equal(f.withdrawn, []string{"nile-current/" + got.KeyID})
	is.Equal(ctl("key", "grant", "nile-current", "nobody").code, ExitFailed)
}

func TestAdminCommands(t *testing.T) {
	is := is.New(t)
	ctl := startInstance(t, &fakeInstance{})
	for want, line := range map[string]string{
		"10.0.0.1:80":     "backend list",
		"drained, 4 in":   "backend drain 10.0.0.1:80",
		"giza-0":          "instance status",
		"is draining":     "instance drain",
		"nile-current":    "program list --team nile-current",
		"giza-1":          "program show giza-1",
		"cancelled":       "program cancel giza-1",
		"nile-current  3": "status",
		`"instances":`:    "status -o json",
		"\n":              "version",
	} {
		r := ctl(strings.Fields(line)...)
		is.Equal(r.code, ExitOK)
		if !strings.Contains(r.out, want) {
			t.Errorf("%s: %q does not contain %q", line, r.out, want)
		}
	}
	is.Equal(ctl("program", "show", "none").code, ExitFailed)
}

func TestExitCodes(t *testing.T) {
	for line, want := range map[string]int{
		"":                          ExitOK,
		"help":                      ExitOK,
		"nonsense":                  ExitUsage,
		"config nonsense":           ExitUsage,
		"config apply":              ExitUsage,
		"config apply x.toml":       ExitUsage,
		"config validate none.toml": ExitFailed,
		"status -o xml":             ExitUsage,
		"status --nonsense":         ExitUsage,
		"instance drain":            ExitUsage,
		"completion bash":           ExitOK,
		"status --instance 127.0.0.1:1 --timeout 500ms": ExitUnreachable,
	} {
		if r := runCtl(strings.Fields(line)...); r.code != want {
			t.Errorf("%q: exit code %d, want %d: %s", line, r.code, want, r.err)
		}
	}
}
