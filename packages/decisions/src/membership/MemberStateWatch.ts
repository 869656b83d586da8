import type { InstanceId } from '@jujubecroft/types';

import type { Member, MemberState } from './Member.js';

/** How a member changed for those who watch the fleet. */
export interface MemberChange {
  readonly member: InstanceId;
  readonly before: MemberState | 'unknown';
  readonly state: MemberState;
}

/** Tells which members changed state, for logs. */
export class MemberStateWatch {
  readonly #states = new Map<InstanceId, MemberState>();

  /**
   * @param members - all that are known now
   * @returns changes since the last call
   */
  look(members: readonly Member[]): readonly MemberChange[] {
    return members
      .filter(({ id, state }) => this.#states.get(id) !== state)
      .map(({ id, state }) => {
        const before = this.#states.get(id) ?? 'unknown';
        this.#states.set(id, state);
        return { member: id, before, state };
      });
  }
}
