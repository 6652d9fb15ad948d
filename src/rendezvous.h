/* Rendezvous (highest random weight) hashing.

   Every process computes the same score for a pair of a subject and a node
   from their two names alone.  The node with the highest score is chosen; when
   it leaves, only the subjects that it had are assigned to other nodes.  */

#ifndef AB_RENDEZVOUS_H
#define AB_RENDEZVOUS_H

#include <stddef.h>
#include <stdint.h>

#include "chunk.h"

/* 64-bit hash of a name; callers that score often keep it.  */
uint64_t ab_rendezvous_hash (struct ab_chunk name);

/* Hash of an ordered pair of names, such as service and failure domain.  */
uint64_t ab_rendezvous_hash_pair (struct ab_chunk a, struct ab_chunk b);

/* Score of NODE for SUBJECT; both are hashes of names.  */
uint64_t ab_rendezvous_score (uint64_t subject, uint64_t node);

/* A bijective mix of 64 bits (the finaliser of SplitMix64).  */
uint64_t ab_rendezvous_mix (uint64_t value);

#endif
