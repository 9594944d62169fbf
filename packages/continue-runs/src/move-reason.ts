/** Why a run is moved: its engine leaves, or has made no event of it for long while it answers. */
export type MoveReason = 'leaving' | 'lagging';
