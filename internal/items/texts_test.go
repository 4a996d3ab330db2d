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

// textsRig is an owner of job j1 whose items 0 and 1 have run for long, and item 2 not.
func textsRig(t *testing.T) (*Executor, *memory) {
	t.Helper()
	x, store, _ := newExecutor(t)
	x.keeper.add(testJob())
	x.keeper.setOwned("j1", true)
	j := x.keeper.get("j1")
	for i, data := range []string{"ab", "c", "d"} {
		for n, b := range data {
			j.texts[i].add([]string{"1", "2"}[n], []byte(string(b)), 4)
		}
		if i < 2 {
			j.texts[i].began = time.Now().Add(-2 * textAge)
		}
	}
	return x, store
}

// pass makes the texts due and stores them.
func (x *Executor) pass(t *testing.T) {
	t.Helper()
	x.storeTexts(context.Background())
	x.mu.Lock()
	s := x.texts["j1"]
	s.next = time.Time{}
	x.mu.Unlock()
	x.storeTexts(context.Background())
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		x.mu.Lock()
		busy := s.busy
		x.mu.Unlock()
		if !busy {
			return
		}
	}
	t.Fatal("the texts are not stored in time")
}

// TestLongTextsOutliveAllHosts is for a loss of power on all hosts: a step waits for its longest items, which must not
// begin again.
func TestLongTextsOutliveAllHosts(t *testing.T) {
	x, store := textsRig(t)
	x.pass(t)
	x.keeper.get("j1").texts[0].add("3", []byte("e"), 5)
	x.pass(t)
	puts := len(store.puts)
	x.pass(t) // nothing new
	if puts != 2 || len(store.puts) != puts {
		t.Errorf("%d and %d writes, want 2 and no more", puts, len(store.puts))
	}
	other, _, _ := newExecutor(t)
	other.Store = store
	store.keep(t, chunkName("j1", 0), chunkOf(1))
	var done event.JobTaken
	if kind := other.tryTake(context.Background(), event.TakeJob{Job: "j1"}, &done); kind != "" {
		t.Fatalf("kind %q", kind)
	}
	want := []event.ItemHeld{{Item: 0, Events: 3, Versions: []uint64{4, 5}}} // 1 is listed, 2 is made anew
	if diff := cmp.Diff(want, done.Held); diff != "" {
		t.Errorf("held (-want +got):\n%s", diff)
	}
	if got := string(other.keeper.get("j1").texts[0].data); got != "a\nb\ne" {
		t.Errorf("text %q", got)
	}
}

// TestTextsGoOnWhenOthersAreListed is for the end of a step: most items are listed, and the few that the trainer waits for
// must still be stored.
func TestTextsGoOnWhenOthersAreListed(t *testing.T) {
	x, store := textsRig(t)
	j := x.keeper.get("j1")
	for n := range 50 {
		j.texts[1].add(strconv.Itoa(n+2), []byte("x"), 4)
	}
	x.pass(t)
	j.texts[1].reset() // as it is listed
	j.texts[0].add("3", []byte("e"), 5)
	x.pass(t)
	var texts []textCopy
	if err := decode(store.objects[wire.PrefixTexts+"j1"].Value, &texts); err != nil {
		t.Fatal(err)
	}
	if len(texts) != 1 || texts[0].Events != 3 {
		t.Errorf("texts stored last: %+v, want the one of item 0 with 3 events", texts)
	}
}

// TestNewerCopyStays is for an owner that dies alone: the copies at its successor are newer than the stored texts.
func TestNewerCopyStays(t *testing.T) {
	x, store := textsRig(t)
	x.pass(t)
	other, _, _ := newExecutor(t)
	other.Store = store
	other.keeper.add(testJob()).texts[0].take(textCopy{Events: 9, Last: "9", Versions: []uint64{4}, Data: []byte("newer")})
	var done event.JobTaken
	other.tryTake(context.Background(), event.TakeJob{Job: "j1"}, &done)
	want := []event.ItemHeld{{Item: 0, Events: 9, Versions: []uint64{4}}, {Item: 1, Events: 1, Versions: []uint64{4}}}
	if diff := cmp.Diff(want, done.Held); diff != "" {
		t.Errorf("held (-want +got):\n%s", diff)
	}
}

// TestTextsAfterALostAnswer is for a store whose answers are lost: the next write takes the stored version.
func TestTextsAfterALostAnswer(t *testing.T) {
	for name, fate := range map[string]lost{"Answer": answer, "Change": change} {
		t.Run(name, func(t *testing.T) {
			x, store := textsRig(t)
			n := 0
			store.lose = func() lost {
				n++
				if n == 1 {
					return fate
				}
				return nothing
			}
			for range 3 {
				x.pass(t)
			}
			var texts []textCopy
			if err := decode(store.objects[wire.PrefixTexts+"j1"].Value, &texts); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(map[int]int{0: 2, 1: 1}, x.texts["j1"].events); diff != "" || len(texts) != 2 {
				t.Errorf("%d texts stored; events known to be, by item (-want +got):\n%s", len(texts), diff)
			}
		})
	}
}

func TestEndedJobStoresNoTexts(t *testing.T) {
	x, store := textsRig(t)
	x.keeper.know(event.JobSeen{Job: "j1", Host: "h1", Ended: true})
	x.storeTexts(context.Background())
	if len(x.texts) != 0 || len(store.puts) != 0 {
		t.Errorf("texts of an ended job: %v, writes %v", x.texts, store.puts)
	}
}
