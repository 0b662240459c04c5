package site

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	configv1 "github.com/berylpond/berylpond/api/config/v1"
	"github.com/berylpond/berylpond/internal/load/workload"
	"github.com/berylpond/berylpond/internal/settings"
)

// Site is a running site: daemons, fake platform services and fake backend servers.
type Site struct {
	Log, InstanceList *Fake
	Engines           []*Fake
	Services          []*Fake
	Instances         []*Instance
	// Keys holds the API key of each account.
	Keys map[string]string

	bin, dir string
	fakes    []*Fake
}

// Options configure a site.
type Options struct {
	// Bin is the directory of the binaries.
	Bin string
	// Policy is the daemons' scheduling policy; empty is the default.
	Policy string
	// AdjustSettings, if set, changes the settings of each daemon.
	AdjustSettings func(*settings.Settings)
}

// Start starts the site of a profile. It returns when every instance is ready and has the accounts' rate limits.
func Start(ctx context.Context, p *workload.Profile, limits []workload.Limit, o Options) (*Site, error) {
	dir, err := os.MkdirTemp("", "berylload")
	if err != nil {
		return nil, err
	}
	s := &Site{Keys: map[string]string{}, bin: o.Bin, dir: dir}
	if err := s.start(ctx, p, limits, o); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) start(ctx context.Context, p *workload.Profile, limits []workload.Limit, o Options) error {
	if err := s.startFakes(p); err != nil {
		return err
	}
	for i, dc := range p.DataCentres {
		for slot := range dc.Instances {
			s.Instances = append(s.Instances, s.newInstance(p, i, slot, o))
		}
	}
	starts, startCtx := errgroup.WithContext(ctx)
	for _, in := range s.Instances {
		starts.Go(func() error { return s.StartInstance(startCtx, in) })
	}
	if err := starts.Wait(); err != nil {
		return err
	}
	doc, err := s.renderDocument(p, limits)
	if err != nil {
		return err
	}
	if err := s.applyDocument(ctx, p.Name, doc); err != nil {
		return err
	}
	for _, in := range s.Instances {
		if err := in.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) startFakes(p *workload.Profile) error {
	var err error
	if s.Log, err = s.addFake("log", "", "log"); err != nil {
		return err
	}
	if s.InstanceList, err = s.addFake("instances", "", "instances"); err != nil {
		return err
	}
	e := p.Engine
	args := []string{
		"--time-scale", formatFloat(p.TimeScale), "--prefill-rate", formatFloat(e.PrefillRate), "--decode-rate", formatFloat(e.DecodeRate),
		"--max-batch", strconv.Itoa(e.MaxBatch), "--capacity", strconv.Itoa(e.Capacity),
		"--event-delay", "100ms", "--event-drop-every", "50", "--load-lag", "200ms",
	}
	for _, dc := range p.DataCentres {
		for i := range dc.Engines {
			f, err := s.addFake(fmt.Sprintf("engine-%s-%d", dc.Name, i), dc.Name, "engine", args...)
			if err != nil {
				return err
			}
			s.Engines = append(s.Engines, f)
		}
		for i := range dc.Services {
			f, err := s.addFake(fmt.Sprintf("service-%s-%d", dc.Name, i), dc.Name, "service", "--latency", "10ms")
			if err != nil {
				return err
			}
			s.Services = append(s.Services, f)
		}
	}
	return nil
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

func (s *Site) addFake(name, dc, role string, args ...string) (*Fake, error) {
	f, err := startFake(s.bin, s.dir, name, role, args...)
	if err != nil {
		return nil, err
	}
	f.DataCentre = dc
	s.fakes = append(s.fakes, f)
	return f, nil
}

// claimWindow is short because an instance in a new slot abstains from votes on claims for this long.
const claimWindow = 5 * time.Second

func (s *Site) newInstance(p *workload.Profile, dcIndex, slot int, o Options) *Instance {
	dc := p.DataCentres[dcIndex]
	set := settings.Default()
	set.Instance = settings.Instance{ID: fmt.Sprintf("%s-%d", dc.Name, slot), DataCentre: dc.Name, Slot: slot, CellSlots: dc.Instances}
	for _, d := range p.DataCentres {
		set.Instance.DataCentres = append(set.Instance.DataCentres, d.Name)
	}
	set.Timing.ClaimWindow = settings.Duration(claimWindow)
	if o.Policy != "" {
		set.Scheduling.Policy = o.Policy
	}
	set.Platform.LogURL, set.Platform.InstancesURL = "http://"+s.Log.Address, "http://"+s.InstanceList.Address
	ip := fmt.Sprintf("127.0.%d.%d", dcIndex+1, slot+1)
	set.Listen = settings.Listen{Callers: ip + ":0", Peers: ip + ":0"}
	if o.AdjustSettings != nil {
		o.AdjustSettings(&set)
	}
	return &Instance{ID: set.Instance.ID, DataCentre: dc.Name, set: set}
}

// applyDocument applies the team's first document.
func (s *Site) applyDocument(ctx context.Context, team string, doc []byte) error {
	conn, err := grpc.NewClient("passthrough:///"+*s.Instances[0].peers.Load(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	defer conn.Close()
	admin := configv1.NewAdminClient(conn)
	err = waitFor(ctx, "document", func() bool {
		_, err = admin.Apply(ctx, &configv1.ApplyRequest{Team: team, Document: doc, Author: "berylload"})
		return err == nil
	})
	return errors.Wrap(err, "apply")
}

// CallerAddresses returns the addresses that callers connect to, by data centre in the order of the profile.
func (s *Site) CallerAddresses() [][]string {
	var out [][]string
	index := map[string]int{}
	for _, in := range s.Instances {
		i, ok := index[in.DataCentre]
		if !ok {
			i = len(out)
			index[in.DataCentre] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], in.CallerAddress())
	}
	return out
}

// Close kills every process of the site and removes its files.
func (s *Site) Close() {
	var ends sync.WaitGroup
	for _, in := range s.Instances {
		if p := in.Process(); p != nil {
			ends.Go(p.Kill)
		}
	}
	ends.Wait()
	for _, f := range s.fakes {
		ends.Go(f.Kill)
	}
	ends.Wait()
	os.RemoveAll(s.dir)
}
