package wire

import "github.com/cespare/xxhash/v2"

// HeadBytes is the length of a prompt's head in bytes.
const HeadBytes = 256

// Head returns the head of a prompt. Requests whose prompts have the same head are preferably sent to the same
// endpoint. It may be called concurrently.
func Head(prompt string) string {
	return prompt[:min(len(prompt), HeadBytes)]
}

// PromptHead returns the hash of a prompt's head, as cache events identify it. It may be called concurrently.
func PromptHead(prompt string) uint64 {
	return xxhash.Sum64String(Head(prompt))
}
