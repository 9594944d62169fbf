/** An order to an engine to change its weights, adapters or role. */
export interface EngineOrder {
  readonly order_id: string;
  /** Fencing number of the sender's lease. */
  readonly fencing: number;
  /** The engine must not start the order after this time, milliseconds since the epoch. */
  readonly deadline: number;
  readonly type: 'load_weights' | 'load_adapter' | 'set_role';
  readonly model?: string | undefined;
  readonly version?: string | undefined;
  readonly adapter?: string | undefined;
  readonly role?: string | undefined;
}
