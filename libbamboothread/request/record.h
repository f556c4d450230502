#ifndef BT_REQUEST_RECORD_H
#define BT_REQUEST_RECORD_H

#include "libbamboothread/request/request.h"

/**
 * enum bt_record_type_t - records of a data centre's job stream
 * @BT_RECORD_BECAME_LEADER: a daemon became the owner; attempts of lower terms that follow are void
 * @BT_RECORD_ACCEPTED: a job was taken
 * @BT_RECORD_ATTEMPT: an attempt may start from here on
 * @BT_RECORD_ABANDONED: an attempt that certainly never started
 * @BT_RECORD_ENDED: a job came to its end
 * @BT_RECORD_CANCEL: its caller wants a job to end
 * @BT_RECORD_TASK_ENDED: one task of a batch job came to its end
 */
typedef enum
{
  BT_RECORD_BECAME_LEADER,
  BT_RECORD_ACCEPTED,
  BT_RECORD_ATTEMPT,
  BT_RECORD_ABANDONED,
  BT_RECORD_ENDED,
  BT_RECORD_CANCEL,
  BT_RECORD_TASK_ENDED,
} bt_record_type_t;

/**
 * struct bt_record_t - one record of a data centre's job stream
 * @id: unique; a record whose id was seen before counts once
 * @term: term of the owner that wrote it
 * @worker: VM of an attempt
 * @is_rewrite: whether it repeats what an earlier record told, before that one expires
 * @answer: base64 of the answer of an ended job
 */
typedef struct
{
  GRefString *id;
  gint type;
  gint64 term;
  GRefString *job;
  GRefString *owner;
  GRefString *route;
  bt_request_t *request;
  gint64 task;
  GRefString *attempt;
  GRefString *worker;
  gint status;
  gint reason;
  gboolean is_rewrite;
  GRefString *answer;
} bt_record_t;

extern const bt_schema_t bt_record_schema;

#endif
