// Package logs creates the loggers of a process, one for each layer.
//
// # Usage
//
//	factory := logs.New(logs.Options{Format: "json", Level: "info",
//		Levels: map[string]string{"route": "debug"}}, os.Stderr)
//	logger := factory.Logger("route")
//
// The layers "route" and "placement" log each routing or placement decision in one
// line at level info.
package logs

import (
	"fmt"
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Options are the log settings of a process. Levels overrides Level for individual
// layers.
type Options struct {
	Format string            `toml:"format"`
	Level  string            `toml:"level"`
	Levels map[string]string `toml:"levels"`
}

// Problems returns the validation errors of the options, each in the form
// "key: message".
func (o Options) Problems() []string {
	var problems []string
	if o.Format != "" && o.Format != "json" && o.Format != "console" {
		problems = append(problems, fmt.Sprintf("log.format: %q is not allowed, use json or console", o.Format))
	}
	if _, err := parseLevel(o.Level); err != nil {
		problems = append(problems, "log.level: "+err.Error())
	}
	for layer, level := range o.Levels {
		if _, err := parseLevel(level); err != nil {
			problems = append(problems, fmt.Sprintf("log.levels.%s: %v", layer, err))
		}
	}
	return problems
}

// Factory creates the loggers of a process, which share an encoder and an output.
type Factory struct {
	options Options
	encoder zapcore.Encoder
	output  zapcore.WriteSyncer
}

// New returns a Factory whose loggers write to output.
func New(options Options, output io.Writer) *Factory {
	settings := zap.NewProductionEncoderConfig()
	settings.TimeKey = "time"
	settings.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder := zapcore.NewJSONEncoder(settings)
	if options.Format == "console" {
		encoder = zapcore.NewConsoleEncoder(settings)
	}
	return &Factory{options: options, encoder: encoder, output: zapcore.Lock(zapcore.AddSync(output))}
}

// Logger returns the logger of a layer. A level that can't be parsed counts as info.
func (f *Factory) Logger(name string) *zap.Logger {
	levelName := f.options.Level
	if override, found := f.options.Levels[name]; found {
		levelName = override
	}
	level, err := parseLevel(levelName)
	if err != nil {
		level = zapcore.InfoLevel
	}
	core := zapcore.NewCore(f.encoder, f.output, level)
	return zap.New(core).Named(name)
}

func parseLevel(name string) (zapcore.Level, error) {
	if name == "" {
		return zapcore.InfoLevel, nil
	}
	level, err := zapcore.ParseLevel(name)
	if err != nil {
		return level, fmt.Errorf("%q is not allowed, use debug, info, warn or error", name)
	}
	return level, nil
}
