import { Controller, Get, Inject } from '@nestjs/common';

import { CONTEXT, type InstanceContext } from '../InstanceContext.js';

/** Time for which callers may cache the addresses. */
const ADDRESSES_TTL_SECONDS = 15;
/** Shorter for a newly started instance, whose answer may lack some members. */
const JOINING_ADDRESSES_TTL_SECONDS = 1;

/** Address of one instance that serves callers. */
export interface AddressEntry {
  readonly instance: string;
  readonly failureDomain: string;
  readonly url: string;
}

/**
 * Lists the instances that callers may use.
 *
 * The answer comes from the membership in memory, so it remains available while
 * the platform is down.
 */
@Controller('v1/addresses')
export class AddressController {
  #rotation = 0;

  constructor(@Inject(CONTEXT) private readonly context: InstanceContext) {}

  @Get()
  addresses(): object {
    const keepSeconds = this.context.isJoining()
      ? JOINING_ADDRESSES_TTL_SECONDS
      : ADDRESSES_TTL_SECONDS;
    return { keep_seconds: keepSeconds, addresses: this.#rotatedEntries() };
  }

  /**
   * Addresses in order of preference.
   *
   * Each answer starts one entry later than the previous one, which spreads
   * callers evenly. Suspect and leaving instances are omitted.
   */
  #rotatedEntries(): readonly AddressEntry[] {
    const all = [...this.#ownEntry(), ...this.#memberEntries()].sort((a, b) =>
      a.instance < b.instance ? -1 : 1,
    );
    this.#rotation += 1;
    const start = all.length === 0 ? 0 : this.#rotation % all.length;
    return [...all.slice(start), ...all.slice(0, start)];
  }

  #ownEntry(): readonly AddressEntry[] {
    if (this.context.leaving) {
      return [];
    }
    const { instance, failureDomain, callerAddress } =
      this.context.membership.self;
    return [{ instance, failureDomain, url: callerAddress }];
  }

  #memberEntries(): readonly AddressEntry[] {
    return this.context.membership.members
      .filter(({ state }) => state === 'live')
      .map(({ id, failureDomain, callerAddress }) => ({
        instance: id,
        failureDomain,
        url: callerAddress,
      }));
  }
}
