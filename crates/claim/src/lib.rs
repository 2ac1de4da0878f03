//! At-most-once execution by idempotency keys claimed in the table service.
