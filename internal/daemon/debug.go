package daemon

import (
	"context"
	"net/http"
	"net/http/pprof"
	"time"

	"k8s.io/klog/v2"
)

// serveDebug serves Go's profiling endpoints until ctx is done.
func serveDebug(ctx context.Context, addr string) {
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	srv := &http.Server{Addr: addr, Handler: mux, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.ListenAndServe(); err != nil && err != http.ErrServerClosed {
		klog.ErrorS(err, "Failed to serve profiling endpoints", "address", addr)
	}
}
