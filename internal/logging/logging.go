// Package logging configures klog to write JSON lines and limits the rate of log lines.
package logging

import (
	"flag"
	"io"
	"log/slog"
	"strconv"

	"k8s.io/klog/v2"
)

// Setup configures klog to write JSON lines to w. Every line contains the id of the instance.
func Setup(w io.Writer, instance string, verbosity int) {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	_ = fs.Set("v", strconv.Itoa(verbosity))
	_ = fs.Set("logtostderr", "false")
	// The klog level V(n) corresponds to the slog level -n.
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.Level(-verbosity)})
	klog.SetSlogLogger(slog.New(handler).With("instance", instance))
}
