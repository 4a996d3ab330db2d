package block

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	callTimeout   = 5 * time.Second
	scoreTimeout  = 30 * time.Second
	packWorkers   = 4
	scoreWorkers  = 16
	packRetryWait = 500 * time.Millisecond
	maxScoreReply = 1 << 20 // bytes
)

// Store executes the effects on samples' texts and blocks. Its exported fields are set before Prepare.
type Store struct {
	Texts        *Texts
	Objects      Objects
	Cache        *Cache
	HTTP         *http.Client              // for scorers
	Post         func(ev event.Event) bool // adds an event to the loop
	packs        chan event.PackLot        // effects that wait for a worker, as in the channels below
	scores       chan event.ScoreGroup
	lotDeletes   chan event.DeleteLot
	blockDeletes chan event.DeleteBlocks
	serves       chan event.ServeBlock
}

// queueSize is the capacity of each queue; the reducer never has as many effects in progress.
const queueSize = 8192

// Prepare creates the queues. It must be called once, before Do and Run.
func (s *Store) Prepare() {
	s.packs = make(chan event.PackLot, queueSize)
	s.scores = make(chan event.ScoreGroup, queueSize)
	s.lotDeletes = make(chan event.DeleteLot, queueSize)
	s.blockDeletes = make(chan event.DeleteBlocks, queueSize)
	s.serves = make(chan event.ServeBlock, queueSize)
}

// Do applies an effect on texts, queues one on lots or blocks, and reports whether the effect was one of these.
func (s *Store) Do(effect event.Effect) bool {
	switch e := effect.(type) {
	case event.KeepRollout:
		s.Texts.addSpec(e.Spec)
	case event.ForgetRollout:
		s.Texts.removeSpec(e.Name)
	case event.OpenLot:
		s.Texts.openLot(e.Lot)
	case event.DropLot:
		s.Texts.dropLot(e.Lot)
	case event.DropAnswer:
		s.Texts.dropAnswer(e.Lot, e.Request)
	case event.PackLot:
		enqueue(s.packs, e)
	case event.ScoreGroup:
		enqueue(s.scores, e)
	case event.DeleteBlocks:
		enqueue(s.blockDeletes, e)
	case event.DeleteLot:
		enqueue(s.lotDeletes, e)
	case event.ServeBlock:
		enqueue(s.serves, e)
	default:
		return false
	}
	return true
}

// enqueue drops the effect if the queue is full: its caller asks again or times out.
func enqueue[T any](queue chan T, e T) {
	select {
	case queue <- e:
	default:
	}
}

// Run executes the queued effects until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	for range packWorkers {
		go runWorker(ctx, s.packs, s.packLot)
		go runWorker(ctx, s.serves, s.serveBlock)
	}
	for range scoreWorkers {
		go runWorker(ctx, s.scores, s.scoreGroup)
	}
	go runWorker(ctx, s.blockDeletes, s.deleteBlocks)
	go runWorker(ctx, s.lotDeletes, s.deleteLot)
	<-ctx.Done()
	return nil
}

func runWorker[T any](ctx context.Context, queue <-chan T, f func(context.Context, T)) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-queue:
			f(ctx, e)
		}
	}
}

// packLot writes a lot's blocks. They are also cached, so that the lot can be handed over in a store outage.
func (s *Store) packLot(ctx context.Context, e event.PackLot) {
	packed, err := s.writeBlocks(ctx, e)
	if err != nil {
		packed.Kind = kinds.KindOf(err)
		sleep(ctx, packRetryWait)
	}
	packed.Lot = e.Lot
	s.Post(packed)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (s *Store) writeBlocks(ctx context.Context, e event.PackLot) (event.LotPacked, error) {
	var packed event.LotPacked
	samples, ok := s.Texts.samples(e.Lot, e.Samples)
	if !ok {
		return packed, kinds.New(kinds.NotFound, "no texts of lot %d on this daemon", e.Lot.Lot)
	}
	blocks, checksum, err := Pack(e.Lot, samples, MaxBytes)
	if err != nil {
		return packed, err
	}
	for _, b := range blocks {
		if err := s.putBlock(ctx, b); err != nil {
			return packed, err
		}
		packed.Blocks = append(packed.Blocks, b.Ref)
	}
	packed.Count, packed.Checksum = len(samples), checksum
	return packed, nil
}

func (s *Store) putBlock(ctx context.Context, b Block) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.Objects.Put(ctx, b.Ref.Name, b.Value); err != nil {
		return err
	}
	s.Cache.Add(b.Ref.Name, b.Value)
	return nil
}

func (s *Store) deleteBlocks(ctx context.Context, e event.DeleteBlocks) {
	for _, name := range e.Names {
		s.Cache.Remove(name)
		s.deleteBlock(ctx, name)
	}
}

// deleteLot deletes an attempt's blocks, which are numbered from 0 without gaps.
func (s *Store) deleteLot(ctx context.Context, e event.DeleteLot) {
	i := 0
	for s.deleteBlock(ctx, ObjectName(e.Lot, i)) {
		i++
	}
}

// deleteBlock reports whether a block existed and was deleted. If the deletion fails, it posts BlockLeft for a later retry.
func (s *Store) deleteBlock(ctx context.Context, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.Objects.Delete(ctx, name)
	if err != nil && kinds.KindOf(err) != kinds.NotFound {
		s.Post(event.BlockLeft{Name: name})
	}
	return err == nil
}

// serveBlock answers a peer's call for a block, from the cache or the store.
func (s *Store) serveBlock(ctx context.Context, e event.ServeBlock) {
	value, err := s.Read(ctx, e.Name)
	s.Post(event.BlockRead{To: e.To, ID: e.ID, Name: e.Name, Kind: kinds.KindOf(err), Value: value})
}

// Read returns a block's value from the cache or the store. It may be called concurrently.
func (s *Store) Read(ctx context.Context, name string) ([]byte, error) {
	if value, ok := s.Cache.Get(name); ok {
		return value, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := s.Objects.Get(ctx, name)
	if err != nil {
		return nil, err
	}
	s.Cache.Add(name, value)
	return value, nil
}

// scoreGroup requests the scores of one group from a scorer.
func (s *Store) scoreGroup(ctx context.Context, e event.ScoreGroup) {
	scores, err := s.requestScores(ctx, e)
	s.Post(event.GroupScored{Lot: e.Lot, Group: e.Group, Turn: e.Turn, Scores: scores, Kind: kinds.KindOf(err)})
}

func (s *Store) requestScores(ctx context.Context, e event.ScoreGroup) ([]float64, error) {
	samples, ok := s.Texts.samples(e.Lot, e.Samples)
	if !ok {
		return nil, kinds.New(kinds.NotFound, "no texts of lot %d on this daemon", e.Lot.Lot)
	}
	request := wire.ScoreAsk{Samples: make([]wire.ScoreItem, len(samples))}
	for i, sample := range samples {
		request.Samples[i] = wire.ScoreItem{ID: sample.ID, Prompt: sample.Prompt, Text: sample.Text}
	}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, scoreTimeout)
	defer cancel()
	return s.postScores(ctx, "http://"+e.Address+wire.PathScore, body)
}

func (s *Store) postScores(ctx context.Context, url string, body []byte) ([]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := s.HTTP.Do(request)
	if err != nil {
		return nil, kinds.New(kinds.OutcomeUnknown, "%v", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, kinds.New(kinds.EndpointRefused, "the scorer answered with status %d", response.StatusCode)
	}
	var reply wire.ScoreReply
	if err := json.NewDecoder(io.LimitReader(response.Body, maxScoreReply)).Decode(&reply); err != nil {
		return nil, kinds.New(kinds.StreamCut, "decode scores: %v", err)
	}
	return reply.Scores, nil
}
