import type { CallResponse } from '@laburnumshift/types';

/** True for the response, status 503, of a server that is leaving and refused the call without running it. */
export function isLeaving(answer: CallResponse): boolean {
  return answer.status === 503 && /"(?:error|code)"\s*:\s*"leaving"/.test(answer.body);
}
