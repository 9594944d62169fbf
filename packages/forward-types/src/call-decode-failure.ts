/** Why a caller's request cannot be decoded, with the HTTP status and message of the answer. */
export interface CallDecodeFailure {
  readonly type: 'call-fault';
  readonly status: 400 | 431;
  readonly message: string;
}
