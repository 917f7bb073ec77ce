/** Limits the slots of one workspace on a daemon that decides standalone, while others ask too. */

/** Time for which a workspace counts as asking after a request, milliseconds. */
const ASKING_MS = 1000;

/** Largest part of the slots of one workspace while others ask. */
const MAX_PART = 0.5;

/** Multiple of an equal part that one workspace may use: rates of workspaces differ. */
const EQUAL_PART_FACTOR = 2;

/** Slots that the workspaces use on one daemon. Times are monotonic milliseconds. */
export class LocalShares {
  private readonly usedByWorkspace = new Map<string, number>();
  /** Time of the latest request of each workspace, the oldest first. */
  private readonly askedMs = new Map<string, number>();

  /** Records that a workspace asks for a slot. */
  recordRequest(workspace: string, nowMs: number): void {
    this.askedMs.delete(workspace);
    this.askedMs.set(workspace, nowMs);
    for (const [other, askedMs] of this.askedMs) {
      if (nowMs - askedMs <= ASKING_MS) break;
      this.askedMs.delete(other);
    }
  }

  /**
   * Checks whether a workspace that has just asked may use one slot more.
   *
   * @param workspace - name of the workspace
   * @param slots - slots that this daemon may use
   */
  isAllowed(workspace: string, slots: number): boolean {
    const asking = this.askedMs.size;
    if (asking <= 1) return true;
    const part = Math.min(MAX_PART, EQUAL_PART_FACTOR / asking);
    const used = this.usedByWorkspace.get(workspace) ?? 0;
    return used < Math.max(1, Math.ceil(slots * part));
  }

  /** Records that a workspace uses one slot more. */
  recordGrant(workspace: string): void {
    const used = this.usedByWorkspace.get(workspace) ?? 0;
    this.usedByWorkspace.set(workspace, used + 1);
  }

  /** Records that a workspace uses one slot less. */
  recordRelease(workspace: string): void {
    const used = (this.usedByWorkspace.get(workspace) ?? 0) - 1;
    if (used > 0) this.usedByWorkspace.set(workspace, used);
    else this.usedByWorkspace.delete(workspace);
  }
}
