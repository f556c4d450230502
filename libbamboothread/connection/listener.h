#ifndef BT_CONNECTION_LISTENER_H
#define BT_CONNECTION_LISTENER_H

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

/*
 * HTTP servers on a libevent event loop.
 */

/**
 * struct bt_listener_options_t - what an HTTP server accepts
 * @methods: EVHTTP_REQ_ flags of the accepted methods
 * @header_max_bytes: largest request header, in bytes
 * @body_max_bytes: largest request body, in bytes
 * @idle_timeout_s: time after which a connection without a request is closed, in seconds
 */
typedef struct
{
  guint16 methods;
  gssize header_max_bytes;
  gssize body_max_bytes;
  int idle_timeout_s;
} bt_listener_options_t;

struct evhttp *bt_listener_open (struct event_base *base, const char *address,
                                 const bt_listener_options_t *options,
                                 void (*on_request) (struct evhttp_request *, void *),
                                 void *context, GError **error);

#endif
