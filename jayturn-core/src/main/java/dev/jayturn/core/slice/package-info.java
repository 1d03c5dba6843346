/**
 * Division of budgets into slices: a replicated table of the tokens issued to each entry instance,
 * and the account from which an entry instance spends them. Tokens that were issued and not
 * returned are never issued again, so a budget is not overspent when instances are partitioned or
 * crash (escrow method, O'Neil 1986).
 *
 * <p>The terms:
 *
 * <ul>
 *   <li>A <em>holder</em> is one incarnation of an entry instance. When the instance restarts, the
 *       previous holder is <em>retired</em>, and the tokens that it may have spent count as spent.
 *   <li>A <em>slice</em> is the part of one customer's budget that a holder may spend. The leader
 *       <em>issues</em> tokens to it and <em>recalls</em> them; the holder <em>returns</em> free
 *       tokens.
 *   <li>Tokens are <em>free</em> while they are not spent, reserved, returned or transferred.
 *   <li>Tokens are <em>drawn</em> from a slice when they are reserved, spent or transferred to
 *       another holder; received tokens reduce the drawn total.
 *   <li>A <em>lease</em> is the time for which a holder has promised to draw no more than its
 *       marks. After its end the holder may spend its whole slice, and when another incarnation
 *       replaces it, all of its outstanding tokens count as spent, unless that incarnation is shown
 *       to have started before the end. Before its first lease a holder is limited to its marks,
 *       too.
 *   <li>A <em>mark</em> limits the drawn total while the holder's <em>lease</em> runs, so that no
 *       more than the mark counts as spent if another incarnation replaces the holder before the
 *       lease ends.
 *   <li>The <em>home instance</em> of a customer in a data centre is the only one there to which
 *       the leader issues that customer's tokens. The others ask it for tokens and send it their
 *       <em>surplus</em>, the free tokens that they received from other holders.
 * </ul>
 */
@NullMarked
package dev.jayturn.core.slice;

import org.jspecify.annotations.NullMarked;
