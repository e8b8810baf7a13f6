package cli

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/joomcode/errorx"
	"github.com/samber/lo"
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/daemon"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

func newServe() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:     "serve",
		Short:   "Run an entry daemon until it is told to stop",
		Example: "  knapweedpoint serve --settings vm-a1.json",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return serve(path)
		},
	}
	c.Flags().StringVar(&path, "settings", "", "file with the daemon's own settings")
	_ = c.MarkFlagRequired("settings")
	return c
}

func serve(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errorx.ExternalError.Wrap(err, "read settings")
	}
	s, problems := settings.ParseDaemon(data)
	if len(problems) > 0 {
		return errorx.IllegalArgument.New("%s: %s", path, problems[0])
	}
	log, err := newLogger(s.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if !signal.Ignored(syscall.SIGHUP) {
		signal.Notify(signals, syscall.SIGHUP)
	}
	d, err := daemon.New(s, log.With(zap.String("vm", s.Name)))
	if err != nil {
		return err
	}
	return d.Run(signals)
}

func newLogger(level string) (*zap.Logger, error) {
	minLevel, err := zap.ParseAtomicLevel(lo.CoalesceOrEmpty(level, "info"))
	if err != nil {
		return nil, errorx.IllegalArgument.Wrap(err, "logLevel")
	}
	config := zap.NewProductionConfig()
	config.Level = minLevel
	config.Sampling = nil
	config.DisableCaller = true
	config.DisableStacktrace = true
	return config.Build()
}
