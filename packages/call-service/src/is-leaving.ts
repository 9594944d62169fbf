import type { CallAnswer } from '@laburnumshift/types';

/** True for the 503 with which a leaving server refuses a call that it did not run. */
export function isLeaving(answer: CallAnswer): boolean {
  return answer.status === 503 && /"(?:error|code)"\s*:\s*"leaving"/.test(answer.body);
}
