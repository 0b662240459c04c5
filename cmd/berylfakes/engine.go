package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/berylpond/berylpond/internal/fakes/engine"
)

func engineCommand() *cobra.Command {
	c := &cobra.Command{Use: "engine", Short: "Model engine", Args: cobra.NoArgs}
	f := c.Flags()
	listen := listenFlag(c)
	scale := f.Float64("time-scale", 1, "engine time that passes in one second of clock time, in seconds")
	prefill := f.Float64("prefill-rate", 8000, "prompt tokens per second of engine time")
	decode := f.Float64("decode-rate", 1500, "answer tokens per second of engine time, all requests together")
	maxBatch := f.Int("max-batch", 32, "requests that run together")
	capacity := f.Int("capacity", 200_000, "tokens that fit in memory, cached and running together")
	transfer := f.Float64("transfer-rate", 0, "tokens per second of engine time of cache export and import; 0 is at once")
	eventDelay := f.Duration("event-delay", 0, "delay of cache events")
	eventDrop := f.Int64("event-drop-every", 0, "lose each n-th cache event; 0 loses none")
	loadLag := f.Duration("load-lag", 0, "time for which a load report stays unchanged")
	loadTime := f.Duration("model-load-time", time.Second, "engine time of an order to load")
	models := f.StringSlice("models", nil, "models that are loaded at the start; none means that every model is")
	ignoreFence := f.Bool("ignore-fence", false, "obey orders with old fencing numbers")
	c.RunE = func(*cobra.Command, []string) error {
		opts := []engine.Option{
			engine.WithTimeScale(*scale), engine.WithRates(*prefill, *decode), engine.WithMaxBatch(*maxBatch),
			engine.WithCapacity(*capacity), engine.WithTransferRate(*transfer), engine.WithEvents(*eventDelay, *eventDrop),
			engine.WithLoadLag(*loadLag), engine.WithModelLoadTime(*loadTime),
		}
		if len(*models) > 0 {
			opts = append(opts, engine.WithModels(*models...))
		}
		if *ignoreFence {
			opts = append(opts, engine.WithIgnoredFence())
		}
		s := engine.New(opts...)
		defer s.Close()
		return serve("engine", *listen, s)
	}
	return c
}
