#ifndef BT_CONNECTION_VM_LIST_CLIENT_H
#define BT_CONNECTION_VM_LIST_CLIENT_H

#include "libbamboothread/base/schema.h"

/*
 * A client of the platform's list of VMs, which lags behind their real state. The protocol
 * is described in docs/interfaces/vm-list.md.
 */

typedef struct
{
  GRefString *name;
  gint state;
} bt_listed_vm_t;

/**
 * enum bt_listed_state_t - state of a VM in the list
 */
typedef enum
{
  BT_LISTED_LIVE,
  BT_LISTED_LEAVING,
} bt_listed_state_t;

typedef struct
{
  GPtrArray *vms;
} bt_vm_list_t;

extern const bt_schema_t bt_vm_list_schema;

/**
 * bt_vm_list_handler_t - called when the list has been read
 * @context: as passed to bt_vm_list_client_new()
 * @leaving: names of the VMs that are about to be removed, valid during the callback
 */
typedef void (*bt_vm_list_handler_t) (void *context, const GPtrArray *leaving);

typedef struct bt_vm_list_client_t bt_vm_list_client_t;

bt_vm_list_client_t *bt_vm_list_client_new (const char *address, bt_vm_list_handler_t handler,
                                            void *context);
void bt_vm_list_client_free (bt_vm_list_client_t *client);

#endif
