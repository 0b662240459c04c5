// Package logging sets up the process's log: klog as JSON lines on standard error.
package logging

import (
	"flag"
	"io"
	"log/slog"
	"strconv"

	"k8s.io/klog/v2"
)

// Setup makes klog write JSON lines to w. Every line carries the instance's id.
func Setup(w io.Writer, instance string, verbosity int) {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	_ = fs.Set("v", strconv.Itoa(verbosity))
	_ = fs.Set("logtostderr", "false")
	// klog's level V(n) is slog's level -n.
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.Level(-verbosity)})
	klog.SetSlogLogger(slog.New(handler).With("instance", instance))
}
