// Package revision lets few processes of each availability zone read the revision of the
// key-value service for the others, because each call to the service has a price.
//
// The readers of a zone are halls on the roster, one for each hallsPerReader of them. All
// processes that know the same roster choose the same one, by rendezvous hashing. A process
// whose zone has no hall, or that is the reader itself, has no reader. Calls to the reader
// name their recipient, and package watch decides what its answer is worth.
//
// # Usage
//
//	readers := revision.New(revision.Options{Zone: zone, Kind: host.KindHall, Name: name, Halls: halls, Client: client})
//	watchStore.SetReader(readers.Find)
//	server := revision.NewServer(watchStore) // At the halls.
//	mux.Handle(server.PathPrefix(), server)
package revision

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/recipient"
	"limpethall.dev/kernel/watch"
	"limpethall.dev/kernel/wire"
)

const (
	// prefix is the prefix for which a reader is asked. No keys are below it.
	prefix = "revision/"
	// hallsPerReader bounds the calls to one reader: about one in 0.4 of the apply period from
	// each hall, and half as many from each keeper.
	hallsPerReader = 64
)

// UnknownError reports that the reader does not know the revision, because the service has
// confirmed nothing to it since its watch began.
type UnknownError struct{ reader string }

// Error implements error.
func (e *UnknownError) Error() string { return e.reader + " does not know the revision" }

// Reader returns the name of the reader.
func (e *UnknownError) Reader() string { return e.reader }

// Options configure Readers.
type Options struct {
	// Kind, Name and Zone are those of this process.
	Kind host.Kind
	Name string
	Zone string
	// Halls returns the halls on the roster. It must not block.
	Halls func() []host.Member
	// Client returns an RPC client of a hall.
	Client func(hall host.Member) wire.Relay
}

// Readers finds the reader of a process.
type Readers struct {
	options Options
	own     uint64 // Hash of the kind and name, which decides among the readers of a zone.
}

// New returns the Readers of a process.
func New(options Options) *Readers {
	return &Readers{options: options, own: xxhash.Sum64String(fmt.Sprintf("%s/%s", options.Kind, options.Name))}
}

// NewClient returns the Client of Options whose calls go through client.
func NewClient(client *http.Client) func(hall host.Member) wire.Relay {
	return func(hall host.Member) wire.Relay {
		return wire.NewRelayProtobufClient("http://"+hall.Address(), recipient.NewClient(client, host.KindHall, hall.Name()))
	}
}

// Find returns the process to ask for the revision. It returns false if the zone has no hall,
// or if this process is the one to ask.
func (r *Readers) Find() (watch.Reader, bool) {
	var halls []host.Member
	for _, hall := range r.options.Halls() {
		if hall.Zone() == r.options.Zone {
			halls = append(halls, hall)
		}
	}
	readers := 1 + uint64(len(halls)/hallsPerReader)
	key := prefix + r.options.Zone + "/" + strconv.FormatUint(r.own%readers, 10)
	hall, found := host.TopMember(key, halls)
	if !found || (r.options.Kind == host.KindHall && hall.Name() == r.options.Name) {
		return nil, false
	}
	return reader{name: hall.Name(), client: r.options.Client(hall)}, true
}

// reader is a hall that is asked for the revision.
type reader struct {
	name   string
	client wire.Relay
}

// Confirmation implements watch.Reader.
func (r reader) Confirmation(ctx context.Context) (watch.Confirmation, error) {
	reply, err := r.client.Recall(ctx, &wire.RecallRequest{Prefix: prefix})
	if err != nil {
		return watch.Confirmation{}, err
	}
	if !reply.GetKnown() {
		return watch.Confirmation{}, &UnknownError{reader: r.name}
	}
	return watch.NewConfirmation(reply.GetRevision(), time.Duration(reply.GetAgeMilliseconds())*time.Millisecond), nil
}

// server implements wire.Relay for the processes whose reader this one is.
type server struct{ store *watch.Store }

// NewServer returns the handler that tells other processes what the service last confirmed to
// the store. It makes no call to the service.
func NewServer(store *watch.Store) wire.TwirpServer { return wire.NewRelayServer(server{store: store}) }

// Recall implements wire.Relay. Other prefixes are not known at this address.
func (s server) Recall(_ context.Context, request *wire.RecallRequest) (*wire.RecallReply, error) {
	if request.GetPrefix() != prefix {
		return &wire.RecallReply{}, nil
	}
	confirmation, known := s.store.Confirmation()
	// Rounded up, because the state must not appear to be newer than it is.
	age := (confirmation.Age() + time.Millisecond - 1).Milliseconds()
	return &wire.RecallReply{Known: known, Revision: confirmation.Revision(), AgeMilliseconds: age}, nil
}
