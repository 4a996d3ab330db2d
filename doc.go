// Package figshift is the client of the rollout service. Applications use it to generate text; trainers use it to
// fetch lots of samples and to publish weight versions.
package figshift
