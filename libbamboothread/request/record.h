#ifndef BT_REQUEST_RECORD_H
#define BT_REQUEST_RECORD_H

#include "libbamboothread/request/request.h"

/**
 * enum bt_record_type_t - types of records in the job stream of a data centre
 * @BT_RECORD_BECAME_LEADER: a daemon became the owner; later records of lower terms that accept a
 *   job or start an attempt are void
 * @BT_RECORD_ACCEPTED: a job was accepted
 * @BT_RECORD_ATTEMPT: an attempt may start as soon as this record is stored
 * @BT_RECORD_ABANDONED: an attempt certainly never started
 * @BT_RECORD_ENDED: a job ended
 * @BT_RECORD_CANCEL: the caller of a job requested its cancellation
 * @BT_RECORD_TASK_ENDED: a task of a batch job ended
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
 * struct bt_record_t - a record in the job stream of a data centre
 * @id: unique id; further records with the same id are ignored
 * @term: term of the owner that wrote it
 * @worker: VM of an attempt
 * @is_rewrite: whether it repeats the contents of earlier records before the log deletes them
 * @answer: answer of an ended job or task, in base64
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
