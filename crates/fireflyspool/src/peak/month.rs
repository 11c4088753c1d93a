//! Conversion of minutes since the Unix epoch to calendar months.

const MINUTES_PER_DAY: u64 = 24 * 60;

/// Number of months from the year 0 (UTC, Gregorian calendar) to the month of a
/// minute since the Unix epoch.
pub(super) fn month_of(minute: u64) -> u64 {
    // Days are counted from 1 March of the year 0, so the leap day ends a year and every
    // 400-year cycle has 146,097 days; 1970-01-01 is day 719,468 of that count.
    let days = minute / MINUTES_PER_DAY + 719_468;
    let cycle = days / 146_097;
    let day_of_cycle = days % 146_097;
    let year_of_cycle = (day_of_cycle - day_of_cycle / 1_460 + day_of_cycle / 36_524
        - day_of_cycle / 146_096)
        / 365;
    let day_of_year =
        day_of_cycle - (365 * year_of_cycle + year_of_cycle / 4 - year_of_cycle / 100);
    // From March on, every five months have 153 days in total.
    let month_from_march = (5 * day_of_year + 2) / 153;
    (cycle * 400 + year_of_cycle) * 12 + month_from_march + 2
}
