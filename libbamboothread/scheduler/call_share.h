#ifndef BTS_CALL_SHARE_H
#define BTS_CALL_SHARE_H

#include <glib.h>

/*
 * How calls to the advice service are shared. Each process makes one call at a time, so while more
 * are wanted, a call for one stage is a call less for another.
 */

typedef struct bts_call_share_t bts_call_share_t;

bts_call_share_t *bts_call_share_new (void);
void bts_call_share_free (bts_call_share_t *share);
void bts_call_share_begin_term (bts_call_share_t *share, gint64 now_us);
void bts_call_share_charge (bts_call_share_t *share, const char *service, gint64 duration_us,
                            gboolean is_short, gint64 now_us);
void bts_call_share_wait (bts_call_share_t *share, const char *service, gint64 now_us);
gboolean bts_call_share_has_to_yield (bts_call_share_t *share, const char *service, gint64 now_us);
guint bts_call_share_count_kept (bts_call_share_t *share, guint n_processes, gint64 now_us);
gboolean bts_call_share_is_kept (guint index, guint n_kept, guint n_processes);

#endif
