/**
 * Why a call has no whole answer. `not-sent`: no byte of it reached the server. `sent`: it may have run. `answering`: the
 * answer broke off. `foreign`: the answer belongs to another call.
 */
export interface SendFault {
  readonly type: 'not-sent' | 'sent' | 'answering' | 'foreign';
  readonly reason: string;
}
