package items

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// newTextsExecutor returns the owner of job j1, of which the texts of items 0 and 1 are long and that of item 2 is not.
func newTextsExecutor(t *testing.T) (*Executor, *memoryStore) {
	t.Helper()
	x, store, _ := newExecutor(t)
	x.jobTable.add(testJob())
	x.jobTable.setOwned("j1", true)
	j := x.jobTable.get("j1")
	for i, data := range []string{"ab", "c", "d"} {
		for n, b := range data {
			j.texts[i].add([]string{"1", "2"}[n], []byte(string(b)), 4, "")
		}
		if i < 2 {
			j.texts[i].startedAt = time.Now().Add(-2 * minTextAge)
		}
	}
	return x, store
}

// storeDueTexts makes the job's texts due, stores them and waits until they are stored.
func (x *Executor) storeDueTexts(t *testing.T) {
	t.Helper()
	x.storeTexts(context.Background())
	x.mu.Lock()
	s := x.storedTexts["j1"]
	s.nextStore = time.Time{}
	x.mu.Unlock()
	x.storeTexts(context.Background())
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		x.mu.Lock()
		busy := s.busy
		x.mu.Unlock()
		if !busy {
			return
		}
	}
	t.Fatal("the texts are not stored within 5 s")
}

// TestLongTextsSurvivePowerLoss covers a loss of power on all hosts: a training step waits for its longest items, which
// must not start again from nothing.
func TestLongTextsSurvivePowerLoss(t *testing.T) {
	x, store := newTextsExecutor(t)
	x.storeDueTexts(t)
	x.jobTable.get("j1").texts[0].add("3", []byte("e"), 5, "")
	x.storeDueTexts(t)
	puts := len(store.puts)
	x.storeDueTexts(t) // stores nothing, since no text has grown
	if puts != 2 || len(store.puts) != puts {
		t.Errorf("%d and %d writes, want 2 and no more", puts, len(store.puts))
	}
	other, _, _ := newExecutor(t)
	other.Store = store
	store.seed(t, chunkName("j1", 0), chunkOf(1))
	var done event.JobTaken
	if kind := other.tryTakeOver(context.Background(), event.TakeJob{Job: "j1"}, &done); kind != "" {
		t.Fatalf("kind %q", kind)
	}
	want := []event.ItemHeld{{Item: 0, Events: 3, Versions: []uint64{4, 5}}} // item 1 is listed, and item 2 was not stored
	if diff := cmp.Diff(want, done.Held); diff != "" {
		t.Errorf("held (-want +got):\n%s", diff)
	}
	if got := string(other.jobTable.get("j1").texts[0].text.data); got != "a\nb\ne" {
		t.Errorf("text %q", got)
	}
}

// TestTextsStoredWhenOthersAreListed covers the end of a training step: most items are listed, and the texts of the few
// that the trainer waits for must still be stored.
func TestTextsStoredWhenOthersAreListed(t *testing.T) {
	x, store := newTextsExecutor(t)
	j := x.jobTable.get("j1")
	for n := range 50 {
		j.texts[1].add(strconv.Itoa(n+2), []byte("x"), 4, "")
	}
	x.storeDueTexts(t)
	j.texts[1].reset() // as when the item is listed
	j.texts[0].add("3", []byte("e"), 5, "")
	x.storeDueTexts(t)
	var texts []textCopy
	if err := decode(store.objects[wire.PrefixTexts+"j1"].Value, &texts); err != nil {
		t.Fatal(err)
	}
	if len(texts) != 1 || texts[0].Events != 3 {
		t.Errorf("texts stored last: %+v, want the one of item 0 with 3 events", texts)
	}
}

// TestNewerCopyStays covers an owner that dies alone: the copies at its successor are newer than the stored texts and must
// not be replaced.
func TestNewerCopyStays(t *testing.T) {
	x, store := newTextsExecutor(t)
	x.storeDueTexts(t)
	other, _, _ := newExecutor(t)
	other.Store = store
	other.jobTable.add(testJob()).texts[0].appendPart(textCopy{Events: 9, Last: "9", Versions: []uint64{4}, Data: []byte("newer")})
	var done event.JobTaken
	other.tryTakeOver(context.Background(), event.TakeJob{Job: "j1"}, &done)
	want := []event.ItemHeld{{Item: 0, Events: 9, Versions: []uint64{4}}, {Item: 1, Events: 1, Versions: []uint64{4}}}
	if diff := cmp.Diff(want, done.Held); diff != "" {
		t.Errorf("held (-want +got):\n%s", diff)
	}
}

// TestTextsAfterALostAnswer covers a store that loses a write or its answer: the next write must use the version that is
// stored.
func TestTextsAfterALostAnswer(t *testing.T) {
	for name, lost := range map[string]loss{"Answer": lossAnswer, "Change": lossChange} {
		t.Run(name, func(t *testing.T) {
			x, store := newTextsExecutor(t)
			n := 0
			store.nextLoss = func() loss {
				n++
				if n == 1 {
					return lost
				}
				return lossNone
			}
			for range 3 {
				x.storeDueTexts(t)
			}
			var storedTexts []textCopy
			if err := decode(store.objects[wire.PrefixTexts+"j1"].Value, &storedTexts); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(map[int]int{0: 2, 1: 1}, x.storedTexts["j1"].events); diff != "" || len(storedTexts) != 2 {
				t.Errorf("%d texts stored; events known to be, by item (-want +got):\n%s", len(storedTexts), diff)
			}
		})
	}
}

func TestEndedJobStoresNoTexts(t *testing.T) {
	x, store := newTextsExecutor(t)
	x.jobTable.setOwner(event.JobSeen{Job: "j1", Host: "h1", Ended: true})
	x.storeTexts(context.Background())
	if len(x.storedTexts) != 0 || len(store.puts) != 0 {
		t.Errorf("texts of an ended job: %v, writes %v", x.storedTexts, store.puts)
	}
}
