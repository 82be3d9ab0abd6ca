//! One block of a two-by-two comparison, earlier beside trial: a ratio of likelihoods whose mean is at most one
//! as long as the null hypothesis holds, whatever the earlier build's own rate is just then.
//!
//! Source: Turner, Ly and Gruenwald, "Generic E-Variables for Exact Sequential k-Sample Tests that allow for
//! Optional Stopping". Let side g have n_g outcomes, marked at rates p_g, let a be a point of the alternative and
//! b the point of the null that is nearest to it in sum n_g KL(a_g || b_g). The product over all outcomes of
//! a_g(y) / b_g(y) has the mean prod (1 + (p_g - b_g) s_g)^n_g, s_g = (a_g - b_g) / (b_g (1 - b_g)), which is at
//! most exp(sum n_g (p_g - b_g) s_g). Since the null is convex and b the nearest point, that sum is at most 0 for
//! every p of the null. Outcomes of one side need not have one rate: by the inequality of the arithmetic and
//! the geometric mean their mean rate counts.

/// What one side has brought: outcomes, and how many of them are marked (faults, slow ones, complaints).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    pub n: f64,
    pub marked: f64,
}

impl Tally {
    pub fn new(n: f64, marked: f64) -> Tally {
        Tally { n, marked }
    }
    pub fn add(&mut self, other: Tally) {
        (self.n, self.marked) = (self.n + other.n, self.marked + other.marked);
    }
    /// Without another's part; never below nothing.
    pub fn less(&self, other: Tally) -> Tally {
        let n = (self.n - other.n).max(0.0);
        Tally {
            n,
            marked: (self.marked - other.marked).clamp(0.0, n),
        }
    }
    /// The share that is marked, 0 where there is none.
    pub fn share(&self) -> f64 {
        self.marked / self.n.max(1.0)
    }
}

/// Earlier and trial, in this order.
pub type Sides = [Tally; 2];

/// No rate is taken to be nearer to 0 or 1 than this: a logarithm has to stay finite.
const EDGE: f64 = 1e-7;

/// The point nearest to `alternative` (rates of the earlier and the trial) on the line on which the trial fails
/// `beyond` of what would have passed: 1 - p1 = (1 - beyond) (1 - p0). In closed form: a quadratic.
pub fn nearest(alternative: [f64; 2], n: [f64; 2], beyond: f64) -> [f64; 2] {
    let (r, all) = (1.0 - beyond, n[0] + n[1]);
    let marked = [n[0] * alternative[0], n[1] * alternative[1]];
    let passes = all - marked[0] - marked[1];
    let (a, b) = (r * all, passes * (1.0 + r) + marked[0] + r * marked[1]);
    // The smaller root, in the form that does not lose digits.
    let root = (b * b - 4.0 * a * passes).max(0.0).sqrt();
    let q = if b + root > 0.0 {
        2.0 * passes / (b + root)
    } else {
        1.0
    };
    [1.0 - q, 1.0 - r * q].map(|p| p.clamp(EDGE, 1.0 - EDGE))
}

/// The logarithm of the block's ratio, for one point of the alternative against the null that the line at
/// `beyond` bounds.
pub fn log_ratio(sides: &Sides, alternative: [f64; 2], beyond: f64) -> f64 {
    let null = nearest(alternative, [sides[0].n, sides[1].n], beyond);
    let mut sum = 0.0;
    for g in 0..2 {
        let (a, b) = (alternative[g].clamp(EDGE, 1.0 - EDGE), null[g]);
        let Tally { n, marked } = sides[g];
        sum += marked * (a / b).ln() + (n - marked) * ((1.0 - a) / (1.0 - b)).ln();
    }
    sum
}
