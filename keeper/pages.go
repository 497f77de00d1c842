package keeper

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/twitchtv/twirp"

	"limpethall.dev/kernel/buffer"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/recipient"
	"limpethall.dev/kernel/replication"
	"limpethall.dev/kernel/task"
	"limpethall.dev/kernel/wire"
)

const (
	// receivedCopies is how often records that another keeper has sent are in memory while they
	// are stored: as received, decoded, encoded, and in the database's batch.
	receivedCopies = 4
	// sentCopies is how often records are in memory while they are sent: as read, decoded and
	// encoded.
	sentCopies = 3
	// usualPageBytes is the size of most pages.
	usualPageBytes = 640 << 10
	// maxRefusals is how often another keeper may refuse a page for lack of memory.
	maxRefusals = 50
)

// pageMemory returns the memory to take for a page of records. What is larger than a third of
// the budget, such as one large record in a small process, counts as a third, so that each
// record can be copied.
func (k *Keeper) pageMemory(copies int, size int64) int64 {
	return min(int64(copies)*size, k.calls.Limit()/3)
}

// waitForPage takes memory for a page of the keeper's own work, which waits for calls.
func (k *Keeper) waitForPage(ctx context.Context, account *buffer.Account, copies int, size int64) error {
	return account.Wait(ctx, max(0, k.pageMemory(copies, size)-account.Taken()))
}

// retryRefused repeats a call to another keeper while that refuses it for lack of memory.
func (k *Keeper) retryRefused(ctx context.Context, call func() error) error {
	for refusals := 0; ; refusals++ {
		err := call()
		var replied twirp.Error
		if !errors.As(err, &replied) || replied.Code() != twirp.Unavailable || refusals == maxRefusals || ctx.Err() != nil {
			return err
		}
		task.Sleep(ctx, retryDelay)
	}
}

// countingClientOf returns a client of another member whose replies take memory of the account
// before they are read.
func (k *Keeper) countingClientOf(member replication.Keeper, account *buffer.Account) wire.Keeper {
	client := recipient.NewClient(k.client, host.KindKeeper, member.Name)
	return wire.NewKeeperProtobufClient("http://"+member.Address, &countingClient{client: client, keeper: k, account: account})
}

// replyTooLongError reports a reply that no keeper sends.
type replyTooLongError struct{ length int64 }

// Error states the length.
func (e *replyTooLongError) Error() string {
	return fmt.Sprintf("reply of %d bytes, of at most %d", e.length, maxCallBytes)
}

// countingClient counts the records of replies.
type countingClient struct {
	client  *recipient.Client
	keeper  *Keeper
	account *buffer.Account
}

// Do implements wire.HTTPClient.
func (c *countingClient) Do(request *http.Request) (*http.Response, error) {
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	switch {
	case response.ContentLength > maxCallBytes:
		err = &replyTooLongError{length: response.ContentLength}
	case response.ContentLength >= 0:
		err = c.keeper.waitForPage(request.Context(), c.account, receivedCopies, response.ContentLength)
	default:
		err = c.read(response)
	}
	if err != nil {
		_ = response.Body.Close() // Its content does not matter.
		return nil, err
	}
	return response, nil
}

// read reads a reply of unknown length.
func (c *countingClient) read(response *http.Response) error {
	data, err := c.account.Read(response.Body, response.ContentLength, maxCallBytes)
	if err != nil {
		return err
	}
	_ = response.Body.Close() // It is read.
	response.Body = io.NopCloser(bytes.NewReader(data))
	return c.account.Take((receivedCopies - 1) * int64(len(data)))
}
