/** Identity of one end of a link: its mesh address and the id of its mesh instance. */
export interface Identity {
  readonly address: string;
  readonly instance: string;
}
