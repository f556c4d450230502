#include "libbamboothread/connection/listener.h"

#include <string.h>

#include "libbamboothread/base/error.h"

/**
 * bt_listener_open() - start an HTTP server
 * @base: the event loop
 * @address: IP:port to listen on
 * @options: accepted methods, size limits and idle timeout
 * @on_request: called for each request
 * @context: passed to @on_request
 * @error: %BT_ERROR_IO
 *
 * Return: the server, for evhttp_free(), or NULL on error.
 */
struct evhttp *
bt_listener_open (struct event_base *base, const char *address,
                  const bt_listener_options_t *options,
                  void (*on_request) (struct evhttp_request *, void *), void *context,
                  GError **error)
{
  const char *colon = strrchr (address, ':');
  g_autofree char *host = g_strndup (address, colon == NULL ? 0 : (gsize)(colon - address));
  struct evhttp *server = evhttp_new (base);
  evhttp_set_allowed_methods (server, options->methods);
  evhttp_set_max_headers_size (server, options->header_max_bytes);
  evhttp_set_max_body_size (server, options->body_max_bytes);
  evhttp_set_timeout (server, options->idle_timeout_s);
  evhttp_set_gencb (server, on_request, context);
  if (colon != NULL
      && evhttp_bind_socket (server, host, (guint16)g_ascii_strtoull (colon + 1, NULL, 10)) == 0)
    return server;
  evhttp_free (server);
  g_set_error (error, BT_ERROR, BT_ERROR_IO, "can't listen on %s", address);
  return NULL;
}
