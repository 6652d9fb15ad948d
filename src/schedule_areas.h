/* Areas of scheduling: which targets one scheduler places requests on.

   A failure domain with many targets of a service is an area of its own, so
   that asks and requests stay in it.  The targets of a region's other failure
   domains together are one area: few targets with few slots each are used well
   only together.  Every host derives the same areas from its view.  No I/O. */

#ifndef AB_SCHEDULE_AREAS_H
#define AB_SCHEDULE_AREAS_H

#include "fleet_settings.h"
#include "fleet_state.h"

/* Targets of a service that make a failure domain an area.  */
#define AB_AREA_TARGETS 14
#define AB_AREAS_MAX 64

struct ab_area
{
  char region[AB_NAME_BYTES];
  char failure_domain[AB_NAME_BYTES]; /* Empty: the rest of the region.  */
  size_t targets;
};

/* An area that had no slot is not asked again for this long at most: while all
   are full, each request would ask every one of them.  */
#define AB_AREA_FULL_MS 250

struct ab_areas;

struct ab_areas *ab_areas_new (const struct ab_fleet_settings *settings);
void ab_areas_free (struct ab_areas *areas);

/* Takes note of a target.  MOVED is called for each known target, this one
   included, whose area is new or another one than before.  */
void ab_areas_set_target (struct ab_areas *areas,
                          const struct ab_fleet_target *target,
                          void (*moved) (void *ctx,
                                         const struct ab_fleet_target *,
                                         const char *area),
                          void *ctx);

/* Whether the target ID is known and takes new requests.  */
bool ab_areas_target_ready (const struct ab_areas *areas, const char *id);

/* AREA had no slot of SERVICE for a request of this kind; one is expected to
   be free in WAIT_MS.  */
void ab_areas_note_full (struct ab_areas *areas, const char *service,
                         const struct ab_area *area, bool idempotent,
                         uint64_t wait_ms, uint64_t now_ms);
bool ab_areas_is_full (const struct ab_areas *areas, const char *service,
                       const struct ab_area *area, bool idempotent,
                       uint64_t now_ms);

/* The areas of SERVICE in the order in which a host in FAILURE_DOMAIN asks
   them: its own, those of its region, the others.  Returns how many of at most
   MAX were written.  */
size_t ab_areas_list (const struct ab_areas *areas, const char *service,
                      const char *failure_domain, struct ab_area *list,
                      size_t max);

#endif
