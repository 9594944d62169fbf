/** One part of a prompt; calls share pieces by id. */
export interface PromptPiece {
  readonly id: string;
  readonly tokens: number;
}
