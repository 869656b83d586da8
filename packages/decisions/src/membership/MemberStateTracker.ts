import type { InstanceId } from '@jujubecroft/types';

import type { Member, MemberState } from './Member.js';

/** Change of a member's state. */
export interface MemberChange {
  readonly member: InstanceId;
  readonly before: MemberState | 'unknown';
  readonly state: MemberState;
}

/** Detects changes of member states, for logging. */
export class MemberStateTracker {
  readonly #states = new Map<InstanceId, MemberState>();
  #lastMembers: readonly Member[] = [];

  /**
   * Compares the members with those of the previous call.
   *
   * @param members - all known members; another array whenever a state has changed
   * @returns changes of state since the previous call
   */
  detectChanges(members: readonly Member[]): readonly MemberChange[] {
    if (members === this.#lastMembers) {
      return [];
    }
    this.#lastMembers = members;
    return members
      .filter(({ id, state }) => this.#states.get(id) !== state)
      .map(({ id, state }) => {
        const before = this.#states.get(id) ?? 'unknown';
        this.#states.set(id, state);
        return { member: id, before, state };
      });
  }
}
