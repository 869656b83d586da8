import { Controller, Get, Inject } from '@nestjs/common';

import { CONTEXT, type InstanceContext } from '../InstanceContext.js';

const KEEP_SECONDS = 15;
/** An answer of a new instance may miss others, so it is not kept for long. */
const YOUNG_KEEP_SECONDS = 1;

/** One address that callers may use. */
export interface AddressEntry {
  readonly instance: string;
  readonly failureDomain: string;
  readonly url: string;
}

/**
 * Tells callers which instances to use. The answer is made from the membership
 * held in memory, so it stays good while the platform is down.
 */
@Controller('v1/addresses')
export class AddressController {
  #turn = 0;

  constructor(@Inject(CONTEXT) private readonly context: InstanceContext) {}

  @Get()
  addresses(): object {
    const keepSeconds = this.context.isYoung()
      ? YOUNG_KEEP_SECONDS
      : KEEP_SECONDS;
    return { keep_seconds: keepSeconds, addresses: this.#inOrder() };
  }

  /**
   * Preference order: each answer starts one place further along, so callers
   * spread evenly. Suspect and leaving instances are left out.
   */
  #inOrder(): readonly AddressEntry[] {
    const all = [...this.#own(), ...this.#others()].sort((a, b) =>
      a.instance < b.instance ? -1 : 1,
    );
    this.#turn += 1;
    const start = all.length === 0 ? 0 : this.#turn % all.length;
    return [...all.slice(start), ...all.slice(0, start)];
  }

  #own(): readonly AddressEntry[] {
    if (this.context.leaving) {
      return [];
    }
    const { instance, failureDomain, callerAddress } =
      this.context.membership.self;
    return [{ instance, failureDomain, url: callerAddress }];
  }

  #others(): readonly AddressEntry[] {
    return this.context.membership.members
      .filter(({ state }) => state === 'live')
      .map(({ id, failureDomain, callerAddress }) => ({
        instance: id,
        failureDomain,
        url: callerAddress,
      }));
  }
}
