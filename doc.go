// Package figshift is the client of the rollout service: applications generate with it, trainers take lots
// of samples and publish weight versions with it.
package figshift
