/** Why a caller's request can't be decoded. */
export interface CallFault {
  readonly type: 'call-fault';
  readonly status: 400 | 431;
  readonly message: string;
}
