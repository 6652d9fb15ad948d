#include "rendezvous.h"

#define FNV_OFFSET 0xcbf29ce484222325ULL
#define FNV_PRIME 0x100000001b3ULL
/* 2^64 divided by the golden ratio, the increment of SplitMix64.  */
#define SPLITMIX_INCREMENT 0x9e3779b97f4a7c15ULL

uint64_t
ab_rendezvous_mix (uint64_t value)
{
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

/* FNV-1a, then mixed, as FNV-1a leaves the high bits of short names weak.  */
uint64_t
ab_rendezvous_hash (struct ab_chunk name)
{
  uint64_t hash = FNV_OFFSET;

  for (size_t i = 0; i < name.len; i++)
    hash = (hash ^ (unsigned char)name.data[i]) * FNV_PRIME;
  return ab_rendezvous_mix (hash);
}

uint64_t
ab_rendezvous_hash_pair (struct ab_chunk a, struct ab_chunk b)
{
  return ab_rendezvous_mix (ab_rendezvous_hash (a) * SPLITMIX_INCREMENT
                            + ab_rendezvous_hash (b));
}

uint64_t
ab_rendezvous_score (uint64_t subject, uint64_t node)
{
  return ab_rendezvous_mix (ab_rendezvous_mix (subject + SPLITMIX_INCREMENT)
                            ^ node);
}
