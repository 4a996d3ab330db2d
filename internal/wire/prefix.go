package wire

import "github.com/cespare/xxhash/v2"

const headBytes = 256

// Head returns the head of a prompt, by which prompts that share a prefix are kept together.
// It may be called concurrently.
func Head(prompt string) string {
	return prompt[:min(len(prompt), headBytes)]
}

// PromptHead returns the hash of a prompt's head, as cache events name it. It may be called concurrently.
func PromptHead(prompt string) uint64 {
	return xxhash.Sum64String(Head(prompt))
}
