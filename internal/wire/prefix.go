package wire

import "github.com/cespare/xxhash/v2"

// PromptPrefixBytes is the maximum length of a prompt's prefix in bytes.
const PromptPrefixBytes = 256

// PromptPrefix returns the prefix of a prompt. Requests whose prompts have the same prefix are preferably sent to the same
// endpoint. It may be called concurrently.
func PromptPrefix(prompt string) string {
	return prompt[:min(len(prompt), PromptPrefixBytes)]
}

// PromptPrefixHash returns the hash of a prompt's prefix, as cache events identify it. It may be called concurrently.
func PromptPrefixHash(prompt string) uint64 {
	return xxhash.Sum64String(PromptPrefix(prompt))
}
