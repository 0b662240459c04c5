package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/berylpond/berylpond/internal/fakes/engine"
)

func engineCommand() *cobra.Command {
	c := &cobra.Command{Use: "engine", Short: "Run a fake model engine", Args: cobra.NoArgs}
	f := c.Flags()
	listen := listenFlag(c)
	scale := f.Float64("time-scale", 1, "seconds of engine time per second of clock time")
	prefill := f.Float64("prefill-rate", 8000, "prompt tokens per second of engine time")
	decode := f.Float64("decode-rate", 1500, "output tokens per second of engine time, in total over all requests")
	maxBatch := f.Int("max-batch", 32, "maximum number of requests in a batch")
	capacity := f.Int("capacity", 200_000, "memory in tokens, shared by the prefix cache and running requests")
	transfer := f.Float64("transfer-rate", 0, "tokens per second of engine time for cache export and import; 0 means instant")
	eventDelay := f.Duration("event-delay", 0, "delay of cache events")
	eventDrop := f.Int64("event-drop-every", 0, "drop every n-th cache event; 0 drops none")
	loadLag := f.Duration("load-lag", 0, "interval at which load reports are refreshed")
	loadTime := f.Duration("model-load-time", time.Second, "engine time that loading a model takes")
	models := f.StringSlice("models", nil, "models loaded at startup; if empty, every model is loaded")
	ignoreFence := f.Bool("ignore-fence", false, "execute orders with stale fencing tokens")
	c.RunE = func(*cobra.Command, []string) error {
		opts := []engine.Option{
			engine.WithTimeScale(*scale), engine.WithRates(*prefill, *decode), engine.WithMaxBatch(*maxBatch),
			engine.WithCapacity(*capacity), engine.WithTransferRate(*transfer), engine.WithCacheEvents(*eventDelay, *eventDrop),
			engine.WithLoadReportAge(*loadLag), engine.WithModelLoadTime(*loadTime),
		}
		if len(*models) > 0 {
			opts = append(opts, engine.WithModels(*models...))
		}
		if *ignoreFence {
			opts = append(opts, engine.WithoutFencing())
		}
		s := engine.New(opts...)
		defer s.Close()
		return serve("engine", *listen, s)
	}
	return c
}
