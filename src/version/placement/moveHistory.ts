import type { GroupLoad, Move, MoveFilter } from './types.js';

const MOVE_RETENTION_MS = 3_600_000;
/**
 * A move may be undone early only when the expert's share of its layer has changed by this factor
 * since the move. Smoothed counts vary by a few percent under steady load, far less than this.
 */
const CHANGED_LOAD_FACTOR = 1.3;

interface RecordedMove {
  readonly kind: Move['kind'];
  readonly at: number;
  readonly share: number;
}

/** Records moves for one hour, so that a decision does not undo them under steady load. */
export class MoveHistory implements MoveFilter {
  private readonly moves = new Map<string, RecordedMove>();

  /**
   * Records moves that were decided.
   *
   * @param moves - Moves of one decision
   * @param now - Current time in milliseconds
   * @param load - Smoothed load at the decision
   */
  record(moves: readonly Move[], now: number, load: GroupLoad): void {
    for (const [key, recorded] of this.moves) {
      if (now - recorded.at >= MOVE_RETENTION_MS) this.moves.delete(key);
    }
    for (const move of moves) {
      this.moves.set(formatKey(move), {
        kind: move.kind,
        at: now,
        share: computeShare(move, load),
      });
    }
  }

  /**
   * Checks whether a move would undo one of the last hour although the load is steady.
   *
   * @param move - Proposed move
   * @param now - Current time in milliseconds
   * @param load - Smoothed load
   * @returns True when the move has to wait
   */
  isBlocked(move: Move, now: number, load: GroupLoad): boolean {
    const recorded = this.moves.get(formatKey(move));
    if (recorded === undefined || recorded.kind === move.kind) return false;
    if (now - recorded.at >= MOVE_RETENTION_MS) return false;
    const ratio = computeShare(move, load) / recorded.share;
    return ratio < CHANGED_LOAD_FACTOR && ratio > 1 / CHANGED_LOAD_FACTOR;
  }
}

function formatKey(move: Move): string {
  return `${move.layer}/${move.expert}/${move.rank}`;
}

function computeShare(move: Move, load: GroupLoad): number {
  const layer = load[move.layer] ?? [];
  const total = layer.reduce((sum, value) => sum + value, 0);
  return (layer[move.expert] ?? 0) / total;
}
