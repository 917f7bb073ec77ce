/** A queue that serves workspaces round robin. */

/** Entry of a fair queue. */
export interface QueueEntry {
  /** Workspace that the entry belongs to. */
  workspace: string;
}

/**
 * Fair queue: one first-in-first-out queue for each workspace, served round
 * robin.
 */
export class FairQueue<T extends QueueEntry> {
  private readonly workspaceQueues = new Map<string, T[]>();
  private length = 0;

  /** Counts all entries. */
  count(): number {
    return this.length;
  }

  /** Counts the entries of one workspace. */
  countOf(workspace: string): number {
    return this.workspaceQueues.get(workspace)?.length ?? 0;
  }

  /** Counts the entries that are served before a new entry of a workspace. */
  countAhead(workspace: string): number {
    const rounds = this.countOf(workspace) + 1;
    let ahead = rounds - 1;
    for (const [name, entries] of this.workspaceQueues) {
      if (name !== workspace) ahead += Math.min(entries.length, rounds);
    }
    return ahead;
  }

  /** Adds an entry at the end of its workspace's queue. */
  push(entry: T): void {
    const entries = this.workspaceQueues.get(entry.workspace);
    if (entries) entries.push(entry);
    else this.workspaceQueues.set(entry.workspace, [entry]);
    this.length += 1;
  }

  /**
   * Removes the first entry that can be served, and moves its workspace to the
   * end of the round. Only the first entry of each workspace is tried.
   *
   * @param tryServe - serves an entry, or returns false to leave it queued
   * @returns whether an entry was served
   */
  takeFirst(tryServe: (entry: T) => boolean): boolean {
    for (const [workspace, entries] of this.workspaceQueues) {
      const head = entries[0];
      if (head === undefined || !tryServe(head)) continue;
      entries.shift();
      this.length -= 1;
      this.workspaceQueues.delete(workspace);
      if (entries.length > 0) this.workspaceQueues.set(workspace, entries);
      return true;
    }
    return false;
  }

  /** Removes an entry at any position; ignores an entry that is not queued. */
  remove(entry: T): void {
    const entries = this.workspaceQueues.get(entry.workspace);
    const index = entries?.indexOf(entry) ?? -1;
    if (!entries || index < 0) return;
    entries.splice(index, 1);
    this.length -= 1;
    if (entries.length === 0) this.workspaceQueues.delete(entry.workspace);
  }

  /** Lists all entries, grouped by workspace. */
  list(): T[] {
    return [...this.workspaceQueues.values()].flat();
  }
}
