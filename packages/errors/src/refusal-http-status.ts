import type { RefusalCode } from '@laburnumshift/types';

/** HTTP status for each refusal code. */
export const REFUSAL_HTTP_STATUS: Readonly<Record<RefusalCode, number>> = {
  bad_request: 400,
  unauthenticated: 401,
  forbidden: 403,
  not_found: 404,
  unknown_service: 404,
  body_too_large: 413,
  request_id_reused: 422,
  idempotency_key_required: 400,
  idempotency_key_undated: 400,
  idempotency_key_expired: 409,
  idempotency_key_reused: 422,
  in_progress: 409,
  outcome_unknown: 409,
  rate_limited: 429,
  overloaded: 503,
  deadline_unreachable: 503,
  no_backend_server: 503,
  request_crashed_engine: 422,
  backend_failed: 502,
  platform_unavailable: 503,
  not_ready: 503,
  internal: 500,
};
