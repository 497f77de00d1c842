// Package logs builds the loggers of a process, one for each layer.
//
// # Usage
//
//	book, err := logs.New(logs.Options{Format: "json", Level: "info",
//		Levels: map[string]string{"route": "debug"}}, os.Stderr)
//	logger := book.Layer("route")
//
// Decisions of routing and placement are written at level info by the layers
// "route" and "placement", one line each.
package logs

import (
	"fmt"
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Options are the log settings of a process. Levels overrides Level for the
// layers it names.
type Options struct {
	Format string            `toml:"format"`
	Level  string            `toml:"level"`
	Levels map[string]string `toml:"levels"`
}

// Problems returns what is wrong with the options, in the form "key: text".
func (o Options) Problems() []string {
	var found []string
	if o.Format != "" && o.Format != "json" && o.Format != "console" {
		found = append(found, fmt.Sprintf("log.format: %q is not allowed, use json or console", o.Format))
	}
	if _, err := parseLevel(o.Level); err != nil {
		found = append(found, "log.level: "+err.Error())
	}
	for layer, level := range o.Levels {
		if _, err := parseLevel(level); err != nil {
			found = append(found, fmt.Sprintf("log.levels.%s: %v", layer, err))
		}
	}
	return found
}

// Book hands out the loggers of a process.
type Book struct {
	options Options
	encoder zapcore.Encoder
	output  zapcore.WriteSyncer
}

// New returns a book that writes to output.
func New(options Options, output io.Writer) *Book {
	settings := zap.NewProductionEncoderConfig()
	settings.TimeKey = "time"
	settings.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder := zapcore.NewJSONEncoder(settings)
	if options.Format == "console" {
		encoder = zapcore.NewConsoleEncoder(settings)
	}
	return &Book{options: options, encoder: encoder, output: zapcore.Lock(zapcore.AddSync(output))}
}

// Layer returns the logger of a layer.
func (b *Book) Layer(name string) *zap.Logger {
	text := b.options.Level
	if own, found := b.options.Levels[name]; found {
		text = own
	}
	level, err := parseLevel(text)
	if err != nil {
		level = zapcore.InfoLevel
	}
	core := zapcore.NewCore(b.encoder, b.output, level)
	return zap.New(core).Named(name)
}

func parseLevel(text string) (zapcore.Level, error) {
	if text == "" {
		return zapcore.InfoLevel, nil
	}
	level, err := zapcore.ParseLevel(text)
	if err != nil {
		return level, fmt.Errorf("%q is not allowed, use debug, info, warn or error", text)
	}
	return level, nil
}
