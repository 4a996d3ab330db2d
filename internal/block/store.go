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
	callTimeout    = 5 * time.Second
	scoreTimeout   = 30 * time.Second
	packWorkers    = 4
	scoreWorkers   = 16
	packRetryWait  = 500 * time.Millisecond
	maxScoreAnswer = 1 << 20
)

// Store carries out the effects on samples' texts and blocks. Its exported fields are set before Prepare.
type Store struct {
	Texts   *Texts
	Objects Objects
	Cache   *Cache
	HTTP    *http.Client              // for scorers
	Post    func(ev event.Event) bool // the loop's
	packs   chan event.PackLot        // waits for a worker
	scores  chan event.ScoreGroup     // waits for a worker
	drops   chan event.DeleteLot      // waits for a worker
	deletes chan event.DeleteBlocks   // waits for a worker
	serves  chan event.ServeBlock     // waits for a worker
}

// queueSize bounds what waits for the workers; the reducer never has that much under way.
const queueSize = 8192

// Prepare makes the queues; it is called once before Do and Run.
func (s *Store) Prepare() {
	s.packs = make(chan event.PackLot, queueSize)
	s.scores = make(chan event.ScoreGroup, queueSize)
	s.drops = make(chan event.DeleteLot, queueSize)
	s.deletes = make(chan event.DeleteBlocks, queueSize)
	s.serves = make(chan event.ServeBlock, queueSize)
}

// Do takes the effects on lots and blocks.
func (s *Store) Do(effect event.Effect) bool {
	switch e := effect.(type) {
	case event.KeepRollout:
		s.Texts.keep(e.Spec)
	case event.ForgetRollout:
		s.Texts.forget(e.Name)
	case event.OpenLot:
		s.Texts.open(e.Lot)
	case event.DropLot:
		s.Texts.drop(e.Lot)
	case event.DropAnswer:
		s.Texts.dropAnswer(e.Lot, e.Request)
	case event.PackLot:
		offer(s.packs, e)
	case event.ScoreGroup:
		offer(s.scores, e)
	case event.DeleteBlocks:
		offer(s.deletes, e)
	case event.DeleteLot:
		offer(s.drops, e)
	case event.ServeBlock:
		offer(s.serves, e)
	default:
		return false
	}
	return true
}

// offer drops what a full queue cannot take: its caller asks again or times out.
func offer[T any](queue chan T, e T) {
	select {
	case queue <- e:
	default:
	}
}

// Run carries out the queued effects until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	for range packWorkers {
		go work(ctx, s.packs, s.pack)
		go work(ctx, s.serves, s.serve)
	}
	for range scoreWorkers {
		go work(ctx, s.scores, s.score)
	}
	go work(ctx, s.deletes, s.remove)
	go work(ctx, s.drops, s.removeLot)
	<-ctx.Done()
	return nil
}

func work[T any](ctx context.Context, queue <-chan T, f func(context.Context, T)) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-queue:
			f(ctx, e)
		}
	}
}

// pack writes a lot's blocks and keeps them in the cache, from which they are handed over in a store outage.
func (s *Store) pack(ctx context.Context, e event.PackLot) {
	packed, err := s.write(ctx, e)
	if err != nil {
		packed.Kind = kinds.From(err)
		wait(ctx, packRetryWait)
	}
	packed.Lot = e.Lot
	s.Post(packed)
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (s *Store) write(ctx context.Context, e event.PackLot) (event.LotPacked, error) {
	var packed event.LotPacked
	samples, ok := s.Texts.samples(e.Lot, e.Samples)
	if !ok {
		return packed, kinds.New(kinds.NotFound, "texts of lot %d", e.Lot.Lot)
	}
	blocks, checksum, err := Pack(e.Lot, samples, MaxBytes)
	if err != nil {
		return packed, err
	}
	for _, b := range blocks {
		if err := s.put(ctx, b); err != nil {
			return packed, err
		}
		packed.Blocks = append(packed.Blocks, b.Ref)
	}
	packed.Count, packed.Checksum = len(samples), checksum
	return packed, nil
}

func (s *Store) put(ctx context.Context, b Packed) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.Objects.Put(ctx, b.Ref.Name, b.Value); err != nil {
		return err
	}
	s.Cache.Add(b.Ref.Name, b.Value)
	return nil
}

func (s *Store) remove(ctx context.Context, e event.DeleteBlocks) {
	for _, name := range e.Names {
		s.Cache.Remove(name)
		s.removeOne(ctx, name)
	}
}

// removeLot removes an attempt's blocks, which are numbered from 0 without gaps.
func (s *Store) removeLot(ctx context.Context, e event.DeleteLot) {
	i := 0
	for s.removeOne(ctx, Name(e.Lot, i)) {
		i++
	}
}

// removeOne reports whether a block was there and is removed; one that could not be removed is tried again later.
func (s *Store) removeOne(ctx context.Context, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.Objects.Delete(ctx, name)
	if err != nil && kinds.From(err) != kinds.NotFound {
		s.Post(event.BlockLeft{Name: name})
	}
	return err == nil
}

// serve answers a peer with a block of the cache or the store.
func (s *Store) serve(ctx context.Context, e event.ServeBlock) {
	value, err := s.Read(ctx, e.Name)
	s.Post(event.BlockRead{To: e.To, ID: e.ID, Name: e.Name, Kind: kinds.From(err), Value: value})
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

// score asks a scorer for the scores of one group.
func (s *Store) score(ctx context.Context, e event.ScoreGroup) {
	scores, err := s.askScorer(ctx, e)
	s.Post(event.GroupScored{Lot: e.Lot, Group: e.Group, Turn: e.Turn, Scores: scores, Kind: kinds.From(err)})
}

func (s *Store) askScorer(ctx context.Context, e event.ScoreGroup) ([]float64, error) {
	samples, ok := s.Texts.samples(e.Lot, e.Samples)
	if !ok {
		return nil, kinds.New(kinds.NotFound, "texts of lot %d", e.Lot.Lot)
	}
	ask := wire.ScoreAsk{Samples: make([]wire.ScoreItem, len(samples))}
	for i, sample := range samples {
		ask.Samples[i] = wire.ScoreItem{ID: sample.ID, Prompt: sample.Prompt, Text: sample.Text}
	}
	body, err := json.Marshal(ask)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, scoreTimeout)
	defer cancel()
	return s.postScores(ctx, "http://"+e.Address+wire.PathScore, body)
}

func (s *Store) postScores(ctx context.Context, url string, body []byte) ([]float64, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	answer, err := s.HTTP.Do(r)
	if err != nil {
		return nil, kinds.New(kinds.OutcomeUnknown, "%v", err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return nil, kinds.New(kinds.EndpointRefused, "status %d", answer.StatusCode)
	}
	var reply wire.ScoreReply
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxScoreAnswer)).Decode(&reply); err != nil {
		return nil, kinds.New(kinds.StreamCut, "%v", err)
	}
	return reply.Scores, nil
}
